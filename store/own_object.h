/// \file
/// Writes an object that this process says of itself, whatever was there.
///
/// Use:
///   writeOwnObject(Link, {.Op = object_op::Create, .Kind = "gateways",
///                         .Name = Self, .Value = Spec});

#ifndef CARDAMOM_STORE_OWN_OBJECT_H
#define CARDAMOM_STORE_OWN_OBJECT_H

#include "store/object_link.h"

namespace cardamom {

/// Creates the object, or replaces one of another value; tries again after each
/// outage until the store has it. Link must outlive the calls.
void writeOwnObject(object_link &Link, const object_request &Create);

} // namespace cardamom

#endif // CARDAMOM_STORE_OWN_OBJECT_H
