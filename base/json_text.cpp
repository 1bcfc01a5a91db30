#include "base/json_text.h"

#include <nlohmann/json.hpp>

namespace cardamom {

using nlohmann::json;

std::string toJsonText(const json &Value) {
  return Value.dump(/*indent=*/-1, ' ', /*ensure_ascii=*/false,
                    json::error_handler_t::replace);
}

bool isUtf8(std::string_view Text) {
  try {
    (void)json(Text).dump();
    return true;
  } catch (const json::type_error &) {
    return false;
  }
}

} // namespace cardamom
