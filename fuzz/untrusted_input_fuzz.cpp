/// \file
/// Fuzzes the decoders of input from outside a gateway: replies of the object
/// store, reports of replicas, and documents of batch jobs. They may only
/// return or throw std::invalid_argument, and whatever they return can be
/// copied and written.

#include "base/bounded_json.h"
#include "platform/job_codec.h"
#include "platform/order_codec.h"
#include "platform/registry_codec.h"
#include "platform/store_transport.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

using namespace cardamom;

template <typename function> static void tolerateInvalid(function Decode) {
  try {
    (void)Decode();
  } catch (const std::invalid_argument &) {
  }
}

static void decodeReply(object_op Op, const std::string &Body) {
  const object_reply Reply = platform::decodeObjectReply(
      {.Op = Op, .Kind = "k"}, {.Status = 200, .Headers = {}, .Body = Body});
  for (const stored_object &Object : Reply.Objects) {
    const nlohmann::json Copy = Object.Spec;
    (void)Copy.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    tolerateInvalid([&] { return platform::decodeReplica(Object); });
    tolerateInvalid([&] { return platform::decodeConfig(Object); });
    tolerateInvalid([&] { return platform::decodeModelVersion(Object); });
  }
}

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *Data, size_t Size) {
  const std::string Input(reinterpret_cast<const char *>(Data), Size);
  decodeReply(object_op::List, Input);
  decodeReply(object_op::Watch, Input);
  decodeReply(object_op::Get, Input);
  decodeReply(object_op::List,
              R"({"items":[{"metadata":{"name":"n","revision":1},"spec":)" +
                  Input + "}]}");
  tolerateInvalid([&] {
    return platform::decodeReplicaReport(
        {.Status = 200, .Headers = {}, .Body = Input});
  });
  tolerateInvalid([&] { return platform::decodeJob(Input); });
  return 0;
}
