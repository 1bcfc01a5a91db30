/// \file
/// Parses the rules and checks them against the inventory.

#ifndef CARDAMOM_CONFIG_RULES_PARSER_H
#define CARDAMOM_CONFIG_RULES_PARSER_H

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace cardamom {

struct configuration;

/// Adds the rules to Config, which must already contain the assets. If it
/// throws config_error, Config may contain a part of the rules.
void parseRules(std::string_view File, const nlohmann::json &Rules,
                configuration &Config);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_RULES_PARSER_H
