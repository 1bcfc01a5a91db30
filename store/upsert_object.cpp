#include "store/upsert_object.h"

namespace cardamom {

void upsertObject(async_store_client &Store, const object_request &Create) {
  Store.call(Create, [&Store, Create](const object_reply &Reply) {
    if (Reply.Outcome == object_outcome::Done)
      return;
    if (Reply.Outcome != object_outcome::Conflict) {
      Store.whenReachable([&Store, Create] { upsertObject(Store, Create); });
      return;
    }
    if (!Reply.Objects.empty() && Reply.Objects.front().Spec == Create.Value)
      return;
    object_request Replace = Create;
    Replace.Op = object_op::Replace;
    Store.call(Replace, [&Store, Create](const object_reply &Replaced) {
      if (Replaced.Outcome != object_outcome::Done)
        Store.whenReachable([&Store, Create] { upsertObject(Store, Create); });
    });
  });
}

} // namespace cardamom
