/// \file
/// Writes an object that this process says of itself, whatever was there.
///
/// Use:
///   writeOwnObject(Link, {.Op = object_op::Create, .Kind = "gateways",
///                         .Name = Self, .Value = Spec});

#ifndef CARDAMOM_STORE_UPSERT_OBJECT_H
#define CARDAMOM_STORE_UPSERT_OBJECT_H

#include "store/async_store_client.h"

namespace cardamom {

/// Creates the object, or replaces one of another value; tries again after each
/// outage until the store has it. Link must outlive the calls.
void upsertObject(async_store_client &Link, const object_request &Create);

} // namespace cardamom

#endif // CARDAMOM_STORE_UPSERT_OBJECT_H
