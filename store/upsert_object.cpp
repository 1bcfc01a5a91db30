#include "store/upsert_object.h"

namespace cardamom {

void upsertObject(async_store_client &Link, const object_request &Create) {
  Link.call(Create, [&Link, Create](const object_reply &Reply) {
    if (Reply.Outcome == object_outcome::Done)
      return;
    if (Reply.Outcome != object_outcome::Conflict) {
      Link.whenReachable([&Link, Create] { upsertObject(Link, Create); });
      return;
    }
    if (!Reply.Objects.empty() && Reply.Objects.front().Spec == Create.Value)
      return;
    object_request Replace = Create;
    Replace.Op = object_op::Replace;
    Link.call(Replace, [&Link, Create](const object_reply &Replaced) {
      if (Replaced.Outcome != object_outcome::Done)
        Link.whenReachable([&Link, Create] { upsertObject(Link, Create); });
    });
  });
}

} // namespace cardamom
