/// \file
/// Reads the inventory.

#ifndef CARDAMOM_CONFIG_INVENTORY_PARSER_H
#define CARDAMOM_CONFIG_INVENTORY_PARSER_H

#include <string_view>
#include <vector>

namespace cardamom {

struct asset;

/// Reads and checks all rows: formats, ranges, duplicate names and addresses,
/// pools that mix kinds, and that there is an entry. Throws config_error.
std::vector<asset> parseInventory(std::string_view File, std::string_view Csv);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_INVENTORY_PARSER_H
