#include "config/inventory_parser.h"

#include "base/identifier.h"
#include "config/configuration.h"
#include "config/csv_reader.h"
#include "config/field_error.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace cardamom {

namespace {

constexpr uint64_t MaxConcurrency = 4096;

enum column : size_t {
  Name,
  Kind,
  Pool,
  Vm,
  Region,
  FailureDomain,
  InnerAddress,
  Address,
  Concurrency,
  ColumnCount
};

constexpr std::array<std::string_view, ColumnCount> ColumnNames = {
    "name",           "kind",          "pool",    "vm",         "region",
    "failure_domain", "inner_address", "address", "concurrency"};

std::string headerLine() {
  std::string Header;
  for (const std::string_view Column : ColumnNames) {
    if (!Header.empty())
      Header += ',';
    Header += Column;
  }
  return Header;
}

class inventory_parser {
public:
  inventory_parser(std::string_view File, std::string_view Csv)
      : File(File), Reader(File, Csv) {}

  std::vector<asset> parse();

private:
  void checkHeader();
  asset parseRow();
  asset_kind parseKind();
  std::string parsePool(asset_kind Kind);
  unsigned parseConcurrency(asset_kind Kind);
  std::string identifier(column Column);
  std::string address(column Column);
  void checkUnique(const asset &Asset);
  void checkUniqueAddress(column Column);
  void checkUniformPoolKind(const asset &Asset);

  [[nodiscard]] const std::string &field(column Column) const {
    return Row.Fields[Column];
  }
  [[noreturn]] void rejectField(column Column, std::string_view Allowed) const {
    throwFieldError({.File = File,
                     .Line = Row.Line,
                     .Field = std::string(ColumnNames[Column])},
                    field(Column), Allowed);
  }

  struct pool_kind {
    asset_kind Kind;
    size_t Line;
  };

  std::string_view File;
  csv_reader Reader;
  csv_row Row;
  /// Values of the rows parsed so far, with the line of each.
  std::unordered_map<std::string, size_t> Names;
  std::unordered_map<std::string, size_t> Addresses;
  std::unordered_map<std::string, pool_kind> Pools;
};

void inventory_parser::checkHeader() {
  const std::string Allowed = "the header " + headerLine();
  if (!Reader.next(Row))
    throwInputError({.File = File, .Line = 1},
                    "the file is empty: allowed is " + Allowed);
  for (size_t I = 0; I < Row.Fields.size(); ++I) {
    if (I >= ColumnCount || Row.Fields[I] != ColumnNames[I])
      throwFieldError({.File = File, .Line = Row.Line, .Field = "header"},
                      Row.Fields[I], Allowed);
  }
  if (Row.Fields.size() < ColumnCount)
    throwInputError({.File = File, .Line = Row.Line, .Field = "header"},
                    "column \"" + std::string(ColumnNames[Row.Fields.size()]) +
                        "\" is missing: allowed is " + Allowed);
}

std::vector<asset> inventory_parser::parse() {
  checkHeader();
  std::vector<asset> Assets;
  while (Reader.next(Row)) {
    if (Assets.size() == MaxInventoryRows)
      throwInputError({.File = File, .Line = Row.Line},
                      "too many rows: allowed is at most " +
                          std::to_string(MaxInventoryRows));
    Assets.push_back(parseRow());
    checkUnique(Assets.back());
    checkUniformPoolKind(Assets.back());
  }
  const bool HasEntry =
      std::any_of(Assets.begin(), Assets.end(), [](const asset &Asset) {
        return Asset.Kind == asset_kind::Entry;
      });
  if (!HasEntry)
    throwInputError({.File = File, .Field = "kind"},
                    "no row is an entry: allowed is an inventory with at least "
                    "one row of kind \"entry\"");
  return Assets;
}

asset inventory_parser::parseRow() {
  if (Row.Fields.size() != ColumnCount)
    throwInputError({.File = File, .Line = Row.Line},
                    std::to_string(Row.Fields.size()) +
                        " fields: allowed is 9 fields, " + headerLine());
  asset Asset;
  Asset.Name = identifier(Name);
  Asset.Kind = parseKind();
  Asset.Pool = parsePool(Asset.Kind);
  Asset.Vm = identifier(Vm);
  Asset.Region = identifier(Region);
  Asset.FailureDomain = identifier(FailureDomain);
  Asset.InnerAddress = address(InnerAddress);
  Asset.Address = address(Address);
  Asset.Concurrency = parseConcurrency(Asset.Kind);
  return Asset;
}

std::string inventory_parser::identifier(column Column) {
  if (!isIdentifier(field(Column)))
    rejectField(Column, IdentifierFormat);
  return field(Column);
}

std::string inventory_parser::address(column Column) {
  if (!parseIpPort(field(Column)))
    rejectField(Column, IpPortFormat);
  return field(Column);
}

asset_kind inventory_parser::parseKind() {
  for (const asset_kind Known :
       {asset_kind::Entry, asset_kind::Model, asset_kind::Plain}) {
    if (field(Kind) == toString(Known))
      return Known;
  }
  rejectField(Kind, "one of entry, model, plain");
}

std::string inventory_parser::parsePool(asset_kind AssetKind) {
  if (AssetKind != asset_kind::Entry)
    return identifier(Pool);
  if (!field(Pool).empty())
    rejectField(Pool, "an empty field, because an entry is not in a pool");
  return {};
}

unsigned inventory_parser::parseConcurrency(asset_kind AssetKind) {
  // Entries run no requests, so the field may be empty.
  if (AssetKind == asset_kind::Entry && field(Concurrency).empty())
    return 1;
  const auto Value = parseWholeNumber(field(Concurrency));
  if (!Value || *Value == 0 || *Value > MaxConcurrency)
    rejectField(Concurrency, "a whole number of requests from 1 to 4096");
  return unsigned(*Value);
}

void inventory_parser::checkUnique(const asset &Asset) {
  const auto [It, IsNew] = Names.emplace(Asset.Name, Row.Line);
  if (!IsNew)
    rejectField(Name, "a unique name; line " + std::to_string(It->second) +
                          " already uses it");
  checkUniqueAddress(InnerAddress);
  checkUniqueAddress(Address);
}

void inventory_parser::checkUniqueAddress(column Column) {
  const auto [It, IsNew] = Addresses.emplace(field(Column), Row.Line);
  if (!IsNew)
    rejectField(Column, "a unique address; line " + std::to_string(It->second) +
                            " already uses it");
}

void inventory_parser::checkUniformPoolKind(const asset &Asset) {
  if (Asset.Kind == asset_kind::Entry)
    return;
  const pool_kind Seen{Asset.Kind, Row.Line};
  const auto [It, IsNew] = Pools.emplace(Asset.Pool, Seen);
  if (It->second.Kind != Asset.Kind)
    rejectField(Kind, "\"" + std::string(toString(It->second.Kind)) +
                          "\", the kind of pool \"" + Asset.Pool +
                          "\" in line " + std::to_string(It->second.Line));
}

} // namespace

std::vector<asset> parseInventory(std::string_view File, std::string_view Csv) {
  rejectNulBytes(File, Csv);
  return inventory_parser(File, Csv).parse();
}

static std::string formatRow(const asset &Asset) {
  const std::array<std::string, ColumnCount> Fields = {
      Asset.Name,
      std::string(toString(Asset.Kind)),
      Asset.Pool,
      Asset.Vm,
      Asset.Region,
      Asset.FailureDomain,
      Asset.InnerAddress,
      Asset.Address,
      std::to_string(Asset.Concurrency)};
  std::string Line;
  for (const std::string &Field : Fields) {
    if (!Line.empty())
      Line += ',';
    Line += formatCsvField(Field);
  }
  return Line + '\n';
}

std::string formatInventory(const std::vector<asset> &Assets) {
  std::string Csv = headerLine() + '\n';
  for (const asset &Asset : Assets)
    Csv += formatRow(Asset);
  return Csv;
}

} // namespace cardamom
