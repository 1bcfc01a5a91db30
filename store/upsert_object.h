/// \file
/// Writes an object that this process owns, such as its own registration.
///
/// Use:
///   upsertObject(Store, {.Op = object_op::Create, .Kind = "gateways",
///                        .Name = Self, .Value = Spec});

#ifndef CARDAMOM_STORE_UPSERT_OBJECT_H
#define CARDAMOM_STORE_UPSERT_OBJECT_H

#include "store/async_store_client.h"

namespace cardamom {

/// Creates the object, or replaces it if its spec differs. Retries until the
/// store has the object, during an outage as soon as the store is reachable
/// again. Store must outlive the calls.
void upsertObject(async_store_client &Store, const object_request &Create);

} // namespace cardamom

#endif // CARDAMOM_STORE_UPSERT_OBJECT_H
