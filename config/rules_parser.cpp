#include "config/rules_parser.h"

#include "base/identifier.h"
#include "config/configuration.h"
#include "config/json_fields.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <unordered_map>

namespace cardamom {

using nlohmann::json;

namespace {

constexpr uint64_t MinTimeoutMs = 100;
constexpr uint64_t MaxTimeoutMs = 300000;
constexpr uint64_t MaxPriority = 16;
constexpr uint64_t MaxStalenessBound = 1000000;
constexpr size_t MaxPathBytes = 256;
constexpr double WeightTolerance = 1e-6;

constexpr std::string_view PathFormat =
    "a path of at most 256 bytes that starts with '/', does not end with '/' "
    "(except \"/\" itself), and has only letters, digits and -._~!$&'()*+,;=:@ "
    "between single slashes, and no segment \".\" or \"..\"";

constexpr std::array<std::string_view, 7> Methods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

/// Paths that entries handle themselves instead of routing them.
constexpr std::array<std::string_view, 8> ReservedPaths = {
    "/v1/completions", "/v1/trainers", "/healthz", "/readyz",
    "/metrics",        "/status",      "/explain", "/trace"};

bool isPathByte(char C) {
  constexpr std::string_view Punctuation = "-._~!$&'()*+,;=:@/";
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') ||
         Punctuation.find(C) != std::string_view::npos;
}

/// Accepts only the normalised form of a path, so that a rule cannot fail to
/// match a call because of a different spelling.
bool isPath(std::string_view Path) {
  if (Path == "/")
    return true;
  if (Path.size() > MaxPathBytes || !Path.starts_with('/') ||
      Path.ends_with('/'))
    return false;
  if (!std::all_of(Path.begin(), Path.end(), isPathByte))
    return false;
  const std::string WithTrailingSlash = std::string(Path) + "/";
  return WithTrailingSlash.find("//") == std::string::npos &&
         WithTrailingSlash.find("/./") == std::string::npos &&
         WithTrailingSlash.find("/../") == std::string::npos;
}

bool isPathOrSubpath(std::string_view Path, std::string_view Prefix) {
  return Path.starts_with(Prefix) &&
         (Path.size() == Prefix.size() || Path[Prefix.size()] == '/');
}

class rules_parser {
public:
  rules_parser(std::string_view File, configuration &Config)
      : File(File), Config(Config) {
    for (const asset &Asset : Config.Assets) {
      KindsByAsset.emplace(Asset.Name, Asset.Kind);
      if (Asset.Kind != asset_kind::Entry)
        KindsByPool.emplace(Asset.Pool, Asset.Kind);
    }
  }

  void parse(const json &Rules);

private:
  using element_parser = void (rules_parser::*)(const std::string &Path,
                                                const json &Element);
  void parseArray(const json_fields &Fields, std::string_view Key,
                  element_parser Parser);
  void parseRoute(const std::string &Path, const json &Element);
  std::string parsePrefix(const json_fields &Fields);
  void parseNonIdempotentCalls(const json_fields &Fields, route_rule &Route);
  void checkNonIdempotentCalls() const;
  void parseTrainer(const std::string &Path, const json &Element);
  void parseUpstream(const std::string &Path, const json &Element);
  void parseWeights(const json &Weights);
  std::string parsePool(const json_fields &Fields, std::string_view Key,
                        asset_kind Kind) const;

  std::string_view File;
  configuration &Config;
  std::unordered_map<std::string, asset_kind> KindsByAsset;
  std::unordered_map<std::string, asset_kind> KindsByPool;
  std::set<std::string> Prefixes;
  std::set<std::string> TrainerNames;
  std::set<unsigned> Priorities;
  std::set<std::string> UpstreamNames;
};

void rules_parser::parse(const json &Rules) {
  const json_fields Fields(File, "", Rules,
                           {"routes", "trainers", "upstreams", "weights"});
  parseArray(Fields, "routes", &rules_parser::parseRoute);
  checkNonIdempotentCalls();
  parseArray(Fields, "trainers", &rules_parser::parseTrainer);
  parseArray(Fields, "upstreams", &rules_parser::parseUpstream);
  if (Fields.has("weights"))
    parseWeights(Fields.at("weights"));
}

void rules_parser::parseArray(const json_fields &Fields, std::string_view Key,
                              element_parser Parser) {
  if (!Fields.has(Key))
    return;
  size_t Index = 0;
  for (const json &Element : Fields.array(Key)) {
    const std::string Path =
        Fields.path(Key) + "[" + std::to_string(Index++) + "]";
    (this->*Parser)(Path, Element);
  }
}

std::string rules_parser::parsePool(const json_fields &Fields,
                                    std::string_view Key,
                                    asset_kind Kind) const {
  std::string Pool = Fields.text(Key);
  const auto It = KindsByPool.find(Pool);
  if (It == KindsByPool.end() || It->second != Kind)
    Fields.rejectValue(Key, "the name of a pool of kind \"" +
                                std::string(toString(Kind)) +
                                "\" in the inventory");
  return Pool;
}

std::string rules_parser::parsePrefix(const json_fields &Fields) {
  std::string Prefix = Fields.text("prefix");
  if (!isPath(Prefix))
    Fields.rejectValue("prefix", PathFormat);
  for (const std::string_view Reserved : ReservedPaths) {
    if (isPathOrSubpath(Prefix, Reserved))
      Fields.rejectValue("prefix", "a path outside " + std::string(Reserved) +
                                       ", which entries handle themselves");
  }
  if (!Prefixes.insert(Prefix).second)
    Fields.rejectValue("prefix", "a prefix that is unique among routes");
  return Prefix;
}

void rules_parser::parseRoute(const std::string &Path, const json &Element) {
  const json_fields Fields(File, Path, Element,
                           {"prefix", "pool", "timeout_ms", "non_idempotent"});
  route_rule Route;
  Route.Prefix = parsePrefix(Fields);
  Route.Pool = parsePool(Fields, "pool", asset_kind::Plain);
  if (Fields.has("timeout_ms"))
    Route.Timeout =
        milliseconds(Fields.number("timeout_ms", MinTimeoutMs, MaxTimeoutMs));
  if (Fields.has("non_idempotent"))
    parseNonIdempotentCalls(Fields, Route);
  Config.Routes.push_back(std::move(Route));
}

void rules_parser::parseNonIdempotentCalls(const json_fields &Fields,
                                           route_rule &Route) {
  size_t Index = 0;
  for (const json &Element : Fields.array("non_idempotent")) {
    const std::string Path =
        Fields.path("non_idempotent") + "[" + std::to_string(Index++) + "]";
    const json_fields Call(File, Path, Element, {"method", "path_prefix"});
    non_idempotent_call Parsed{Call.text("method"), Call.text("path_prefix")};
    if (std::find(Methods.begin(), Methods.end(), Parsed.Method) ==
        Methods.end())
      Call.rejectValue("method",
                       "one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS");
    if (!isPath(Parsed.PathPrefix))
      Call.rejectValue("path_prefix", PathFormat);
    const auto &Calls = Route.NonIdempotent;
    if (std::find(Calls.begin(), Calls.end(), Parsed) != Calls.end())
      Call.rejectValue(
          "path_prefix",
          "a pair of method and path_prefix that is unique in the route");
    Route.NonIdempotent.push_back(std::move(Parsed));
  }
}

/// Rejects a non_idempotent rule for a path that another route serves, since it
/// would never apply.
void rules_parser::checkNonIdempotentCalls() const {
  for (size_t R = 0; R < Config.Routes.size(); ++R) {
    const route_rule &Route = Config.Routes[R];
    for (size_t C = 0; C < Route.NonIdempotent.size(); ++C) {
      const std::string &Path = Route.NonIdempotent[C].PathPrefix;
      if (Config.findRoute(Path) == &Route)
        continue;
      throwFieldError({.File = File,
                       .Field = "routes[" + std::to_string(R) +
                                "].non_idempotent[" + std::to_string(C) +
                                "].path_prefix"},
                      Path,
                      "a path that this route serves: one below \"" +
                          Route.Prefix + "\" that matches no longer prefix");
    }
  }
}

void rules_parser::parseTrainer(const std::string &Path, const json &Element) {
  const json_fields Fields(
      File, Path, Element,
      {"name", "priority", "model", "staleness_bound", "scorer"});
  trainer_rule Trainer;
  Trainer.Name = Fields.text("name");
  if (!isIdentifier(Trainer.Name))
    Fields.rejectValue("name", IdentifierFormat);
  if (!TrainerNames.insert(Trainer.Name).second)
    Fields.rejectValue("name", "a name that is unique among trainers");
  Trainer.Priority = unsigned(Fields.number("priority", 1, MaxPriority));
  if (!Priorities.insert(Trainer.Priority).second)
    Fields.rejectValue("priority", "a priority that is unique among trainers");
  Trainer.Model = parsePool(Fields, "model", asset_kind::Model);
  Trainer.StalenessBound =
      Fields.number("staleness_bound", 0, MaxStalenessBound);
  if (Fields.has("scorer") && !Fields.text("scorer").empty())
    Trainer.Scorer = parsePool(Fields, "scorer", asset_kind::Plain);
  Config.Trainers.push_back(std::move(Trainer));
}

void rules_parser::parseUpstream(const std::string &Path, const json &Element) {
  const json_fields Fields(File, Path, Element,
                           {"name", "retiring", "checks_fence"});
  upstream_rule Upstream;
  Upstream.Name = Fields.text("name");
  const auto It = KindsByAsset.find(Upstream.Name);
  if (It == KindsByAsset.end() || It->second == asset_kind::Entry)
    Fields.rejectValue("name",
                       "the name of a model or plain row in the inventory");
  if (!UpstreamNames.insert(Upstream.Name).second)
    Fields.rejectValue("name", "a name that is unique among upstream rules");
  Upstream.Retiring = Fields.boolean("retiring");
  Upstream.ChecksFence = Fields.boolean("checks_fence");
  Config.Upstreams.push_back(std::move(Upstream));
}

void rules_parser::parseWeights(const json &Weights) {
  const json_fields Fields(File, "weights", Weights, {"idle", "staleness"});
  Config.IdleWeight = Fields.fraction("idle");
  Config.StalenessWeight = Fields.fraction("staleness");
  const double Sum = Config.IdleWeight + Config.StalenessWeight;
  if (std::abs(Sum - 1) > WeightTolerance)
    throwFieldError({.File = File, .Field = "weights"}, Weights.dump(),
                    "two numbers from 0 to 1 whose sum is 1");
}

} // namespace

void parseRules(std::string_view File, const json &Rules,
                configuration &Config) {
  rules_parser(File, Config).parse(Rules);
}

} // namespace cardamom
