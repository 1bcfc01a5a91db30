#include "agent/agent_documents.h"

#include "base/bounded_json.h"
#include "config/leaving_vms.h"
#include "inner/gen/messages.pb.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace cardamom {

using json = nlohmann::json;

static constexpr std::string_view WeightsPrefix = "weights/";

agent_documents::agent_documents(agent_documents_options Options)
    : Options(std::move(Options)),
      Settings(std::make_shared<upstream_settings>()),
      Exchange({.Validate = validate,
                .OnInstall = [this](const versioned_document &Document) {
                  install(Document);
                }}) {}

std::string
upstream_settings::routeRefusalReason(const wire::run_request &Request) const {
  if (!Asset)
    return "not_in_inventory";
  if (Request.has_model()) {
    const bool Matches = Asset->Kind == asset_kind::Model &&
                         Asset->Pool == Request.model().model();
    return Matches ? "" : "wrong_model";
  }
  if (Asset->Kind != asset_kind::Plain)
    return "wrong_pool";
  const std::string &Prefix = Request.plain().route();
  for (const route_rule &Route : Config->Routes)
    if (Route.Prefix == Prefix)
      return Route.Pool == Asset->Pool ? "" : "wrong_pool";
  // Entries call scoring services directly, so these calls match no route.
  for (const trainer_rule &Trainer : Config->Trainers)
    if (Prefix == "/score" && Trainer.Scorer == Asset->Pool)
      return "";
  return "no_route";
}

agent_documents::trainer_weights
agent_documents::parseWeights(const std::string &Text) {
  const json Object = parseBoundedJson(Text);
  return {Object.at("trainer").get<std::string>(),
          {Object.at("model").get<std::string>(),
           Object.at("version").get<uint64_t>(),
           Object.at("source").get<std::string>()}};
}

void agent_documents::validate(const versioned_document &Document) {
  if (Document.Name == "config")
    (void)parseConfigurationDocument(Document.Body, Document.Version);
  else if (Document.Name == "vms")
    (void)parseLeavingVms(Document.Body);
  else if (Document.Name.starts_with(WeightsPrefix))
    (void)parseWeights(Document.Body);
}

void agent_documents::install(const versioned_document &Document) {
  if (Document.Name == "config") {
    auto New = std::make_shared<const configuration>(
        parseConfigurationDocument(Document.Body, Document.Version));
    std::lock_guard Lock(Mutex);
    Config = std::move(New);
    Settings = deriveSettings();
  } else if (Document.Name == "vms") {
    auto New = parseLeavingVms(Document.Body);
    std::lock_guard Lock(Mutex);
    LeavingVms = std::move(New);
    Settings = deriveSettings();
  } else if (Document.Name.starts_with(WeightsPrefix)) {
    trainer_weights New = parseWeights(Document.Body);
    std::lock_guard Lock(Mutex);
    WeightsByTrainer[New.Trainer] = std::move(New.Order);
    Settings = deriveSettings();
  }
  if (Options.OnChange)
    Options.OnChange();
}

std::shared_ptr<const upstream_settings>
agent_documents::deriveSettings() const {
  auto New = std::make_shared<upstream_settings>();
  New->Config = Config;
  if (!Config)
    return New;
  if (const asset *Found = Config->findAsset(Options.Name))
    New->Asset = *Found;
  New->Retiring = Config->isRetiring(Options.Name);
  if (const upstream_rule *Rule = Config->findUpstream(Options.Name))
    New->ChecksFence = Rule->ChecksFence;
  if (!New->Asset)
    return New;
  New->VmLeaving = LeavingVms.contains(New->Asset->Vm);
  // An engine holds the weights of one trainer. The trainer with the lowest
  // priority value is chosen.
  unsigned BestPriority = 0;
  for (const trainer_rule &Trainer : Config->Trainers) {
    const auto It = WeightsByTrainer.find(Trainer.Name);
    if (It == WeightsByTrainer.end() || It->second.Model != New->Asset->Pool)
      continue;
    if (New->Weights && Trainer.Priority >= BestPriority)
      continue;
    BestPriority = Trainer.Priority;
    New->Weights = It->second;
  }
  return New;
}

std::shared_ptr<const upstream_settings> agent_documents::settings() const {
  std::lock_guard Lock(Mutex);
  return Settings;
}

} // namespace cardamom
