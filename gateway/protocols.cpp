#include "gateway/protocols.h"

namespace cardamom {

std::string_view toString(duty_outcome Outcome) {
  switch (Outcome) {
  case duty_outcome::Accepted:
    return "accepted";
  case duty_outcome::Fenced:
    return "fenced";
  case duty_outcome::Refused:
    return "refused";
  case duty_outcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace cardamom
