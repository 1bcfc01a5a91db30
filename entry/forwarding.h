/// \file
/// Forwards a trainer's calls to the entry that holds the lease on its steps.

#ifndef CARDAMOM_ENTRY_FORWARDING_H
#define CARDAMOM_ENTRY_FORWARDING_H

#include "entry/http_frontend.h"
#include "entry/http_reply.h"

#include <memory>
#include <string>
#include <string_view>

namespace cardamom {

class inner_client;
class server_stream;
class step_service;

/// Sends the call to the entry at the inner address and waits for its reply.
/// Trainer calls are idempotent, so the trainer may repeat a call regardless of
/// the verdict.
http_reply forwardTrainerCall(inner_client &Client, const std::string &Address,
                              const trainer_call &Call);

/// Serves "/draw" and "/submit" calls that another entry forwards. Does not
/// block.
void serveForwardedCall(step_service &Steps,
                        const std::shared_ptr<server_stream> &Stream,
                        std::string_view Message);

} // namespace cardamom

#endif // CARDAMOM_ENTRY_FORWARDING_H
