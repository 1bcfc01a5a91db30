/// \file
/// Parses the inventory.

#ifndef CARDAMOM_CONFIG_INVENTORY_PARSER_H
#define CARDAMOM_CONFIG_INVENTORY_PARSER_H

#include <string_view>
#include <vector>

namespace cardamom {

struct asset;

/// Throws config_error for malformed or out-of-range fields, for duplicate
/// names or addresses, for a pool with rows of different kinds, and if no row
/// is an entry.
std::vector<asset> parseInventory(std::string_view File, std::string_view Csv);

} // namespace cardamom

#endif // CARDAMOM_CONFIG_INVENTORY_PARSER_H
