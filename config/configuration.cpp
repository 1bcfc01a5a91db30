#include "config/configuration.h"

#include "base/percent_encoding.h"
#include "config/configuration_document.h"
#include "config/field_error.h"
#include "config/inventory_parser.h"
#include "config/json_fields.h"
#include "config/rules_parser.h"

#include <algorithm>

namespace cardamom {

std::string_view toString(asset_kind Kind) {
  switch (Kind) {
  case asset_kind::Entry:
    return "entry";
  case asset_kind::Model:
    return "model";
  case asset_kind::Plain:
    break;
  }
  return "plain";
}

template <typename T>
static const T *findByName(const std::vector<T> &Values,
                           std::string_view Name) {
  const auto It =
      std::find_if(Values.begin(), Values.end(),
                   [&](const T &Value) { return Value.Name == Name; });
  return It == Values.end() ? nullptr : &*It;
}

const asset *configuration::findAsset(std::string_view Name) const {
  return findByName(Assets, Name);
}

const trainer_rule *configuration::findTrainer(std::string_view Name) const {
  return findByName(Trainers, Name);
}

const upstream_rule *configuration::findUpstream(std::string_view Name) const {
  return findByName(Upstreams, Name);
}

/// Returns whether Path is Prefix or a subpath of it; "/" matches every path.
static bool matchesPathPrefix(std::string_view Prefix, std::string_view Path) {
  if (Prefix == "/")
    return Path.starts_with('/');
  return Path.starts_with(Prefix) &&
         (Path.size() == Prefix.size() || Path[Prefix.size()] == '/');
}

const route_rule *configuration::findRoute(std::string_view Path) const {
  Path = Path.substr(0, Path.find_first_of("?#"));
  const route_rule *Best = nullptr;
  for (const route_rule &Route : Routes) {
    if (!matchesPathPrefix(Route.Prefix, Path))
      continue;
    if (Best == nullptr || Route.Prefix.size() > Best->Prefix.size())
      Best = &Route;
  }
  return Best;
}

std::vector<const asset *>
configuration::assetsInPool(std::string_view Pool) const {
  std::vector<const asset *> Members;
  for (const asset &Asset : Assets) {
    if (Asset.Kind != asset_kind::Entry && Asset.Pool == Pool)
      Members.push_back(&Asset);
  }
  return Members;
}

bool configuration::isRetiring(std::string_view Name) const {
  const upstream_rule *Rule = findUpstream(Name);
  return Rule != nullptr && Rule->Retiring;
}

/// Returns "/a/b" for "/a//./x/../b/?q".
static std::string normalisePath(std::string_view Path) {
  const std::string Decoded =
      percentDecode(Path.substr(0, Path.find_first_of("?#")));
  std::string Normalised;
  for (size_t Offset = 0; Offset < Decoded.size();) {
    const size_t End = std::min(Decoded.find('/', Offset), Decoded.size());
    const auto Segment = std::string_view(Decoded).substr(Offset, End - Offset);
    Offset = End + 1;
    if (Segment.empty() || Segment == ".")
      continue;
    if (Segment == "..")
      Normalised.resize(Normalised.empty() ? 0 : Normalised.rfind('/'));
    else
      Normalised.append("/").append(Segment);
  }
  return Normalised.empty() ? "/" : Normalised;
}

bool isIdempotent(const route_rule &Route, std::string_view Method,
                  std::string_view Path) {
  const auto &Calls = Route.NonIdempotent;
  if (Calls.empty())
    return true;
  const std::string Normalised = normalisePath(Path);
  return std::none_of(Calls.begin(), Calls.end(), [&](const auto &Call) {
    return Call.Method == Method &&
           matchesPathPrefix(Call.PathPrefix, Normalised);
  });
}

static void checkSize(const configuration_source &Source) {
  const size_t Size = Source.InventoryCsv.size() + Source.RulesJson.size();
  if (Size > MaxConfigurationBytes)
    throwInputError({.File = std::string(Source.InventoryName) + " and " +
                             std::string(Source.RulesName)},
                    std::to_string(Size) + " bytes: allowed are at most " +
                        std::to_string(MaxConfigurationBytes) + " in total");
}

configuration parseConfiguration(const configuration_source &Source) {
  checkSize(Source);
  configuration Config;
  Config.Assets = parseInventory(Source.InventoryName, Source.InventoryCsv);
  parseRules(Source.RulesName,
             parseStrictJson(Source.RulesName, Source.RulesJson), Config);
  return Config;
}

configuration parseConfigurationDocument(std::string_view Json,
                                         uint64_t Version) {
  const configuration_document Document = readDocument(Json, Version);
  configuration Config;
  Config.Version = Version;
  Config.EditId = Document.EditId;
  Config.Author = Document.Author;
  Config.Assets = parseInventory("inventory", Document.Inventory);
  parseRules("rules", parseStrictJson("rules", Document.Rules), Config);
  return Config;
}

} // namespace cardamom
