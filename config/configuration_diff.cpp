#include "config/configuration_diff.h"

#include "config/configuration.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>

namespace cardamom {

namespace {

constexpr size_t MaxSummarisedChanges = 3;

/// A field of an element, formatted as text.
struct field_text {
  std::string_view Name;
  std::string Value;
};

/// An element of a configuration: its identity and its other fields.
struct element_text {
  std::string Name;
  std::vector<field_text> Fields;
};

std::string toText(bool Value) { return Value ? "true" : "false"; }

std::string toText(double Value) { return nlohmann::json(Value).dump(); }

std::string toText(const std::vector<non_idempotent_call> &Calls) {
  std::vector<std::string> Lines;
  Lines.reserve(Calls.size());
  for (const non_idempotent_call &Call : Calls)
    Lines.push_back(Call.Method + " " + Call.PathPrefix);
  std::sort(Lines.begin(), Lines.end());
  std::string Text;
  for (const std::string &Line : Lines)
    Text += (Text.empty() ? "" : ", ") + Line;
  return "[" + Text + "]";
}

element_text toElement(const asset &Asset) {
  return {Asset.Name,
          {{"kind", std::string(toString(Asset.Kind))},
           {"pool", Asset.Pool},
           {"vm", Asset.Vm},
           {"region", Asset.Region},
           {"failure_domain", Asset.FailureDomain},
           {"inner_address", Asset.InnerAddress},
           {"address", Asset.Address},
           {"concurrency", std::to_string(Asset.Concurrency)}}};
}

element_text toElement(const route_rule &Route) {
  return {Route.Prefix,
          {{"pool", Route.Pool},
           {"timeout_ms", std::to_string(Route.Timeout.count())},
           {"non_idempotent", toText(Route.NonIdempotent)}}};
}

element_text toElement(const trainer_rule &Trainer) {
  return {Trainer.Name,
          {{"priority", std::to_string(Trainer.Priority)},
           {"model", Trainer.Model},
           {"staleness_bound", std::to_string(Trainer.StalenessBound)},
           {"scorer", Trainer.Scorer}}};
}

element_text toElement(const upstream_rule &Upstream) {
  return {Upstream.Name,
          {{"retiring", toText(Upstream.Retiring)},
           {"checks_fence", toText(Upstream.ChecksFence)}}};
}

std::string formatFields(const element_text &Element) {
  std::string Text;
  for (const field_text &Field : Element.Fields) {
    if (Field.Value.empty())
      continue;
    Text += Text.empty() ? "" : " ";
    Text += std::string(Field.Name) + "=" + Field.Value;
  }
  return Text;
}

class configuration_differ {
public:
  template <typename T>
  void compare(change_subject Subject, const std::vector<T> &Old,
               const std::vector<T> &New) {
    std::map<std::string, element_text> Removed;
    for (const T &Element : Old)
      Removed.emplace(toElement(Element).Name, toElement(Element));
    for (const T &Element : New) {
      const element_text NewElement = toElement(Element);
      const auto It = Removed.find(NewElement.Name);
      if (It == Removed.end()) {
        add(change_kind::Added, Subject, NewElement);
        continue;
      }
      compareFields(Subject, It->second, NewElement);
      Removed.erase(It);
    }
    for (const auto &[Name, Element] : Removed)
      add(change_kind::Removed, Subject, Element);
  }

  void compareFields(change_subject Subject, const element_text &Old,
                     const element_text &New) {
    for (size_t I = 0; I < Old.Fields.size(); ++I) {
      if (Old.Fields[I].Value == New.Fields[I].Value)
        continue;
      Changes.push_back({change_kind::Changed, Subject, New.Name,
                         std::string(New.Fields[I].Name), Old.Fields[I].Value,
                         New.Fields[I].Value});
    }
  }

  std::vector<configuration_change> Changes;

private:
  void add(change_kind Kind, change_subject Subject,
           const element_text &Element) {
    configuration_change Change{.Kind = Kind, .Subject = Subject};
    Change.Name = Element.Name;
    (Kind == change_kind::Added ? Change.New : Change.Old) =
        formatFields(Element);
    Changes.push_back(std::move(Change));
  }
};

element_text weightFields(const configuration &Config) {
  return {"weights",
          {{"idle", toText(Config.IdleWeight)},
           {"staleness", toText(Config.StalenessWeight)}}};
}

} // namespace

std::string_view toString(change_kind Kind) {
  switch (Kind) {
  case change_kind::Added:
    return "added";
  case change_kind::Removed:
    return "removed";
  case change_kind::Changed:
    break;
  }
  return "changed";
}

std::string_view toString(change_subject Subject) {
  switch (Subject) {
  case change_subject::Asset:
    return "asset";
  case change_subject::Route:
    return "route";
  case change_subject::Trainer:
    return "trainer";
  case change_subject::Upstream:
    return "upstream";
  case change_subject::Weights:
    break;
  }
  return "weights";
}

std::vector<configuration_change> diffConfigurations(const configuration &Old,
                                                     const configuration &New) {
  configuration_differ Differ;
  Differ.compare(change_subject::Asset, Old.Assets, New.Assets);
  Differ.compare(change_subject::Route, Old.Routes, New.Routes);
  Differ.compare(change_subject::Trainer, Old.Trainers, New.Trainers);
  Differ.compare(change_subject::Upstream, Old.Upstreams, New.Upstreams);
  Differ.compareFields(change_subject::Weights, weightFields(Old),
                       weightFields(New));
  return std::move(Differ.Changes);
}

std::string formatChange(const configuration_change &Change) {
  std::string Line(toString(Change.Kind));
  Line += " ";
  Line += toString(Change.Subject);
  if (Change.Subject != change_subject::Weights)
    Line += " " + Change.Name;
  if (Change.Kind != change_kind::Changed)
    return Line + ": " + Change.Old + Change.New;
  return Line + ": " + Change.Field + " \"" + Change.Old + "\" -> \"" +
         Change.New + "\"";
}

std::string summariseChanges(const std::vector<configuration_change> &Changes) {
  if (Changes.empty())
    return "no change";
  std::string Summary;
  const size_t Shown = std::min(Changes.size(), MaxSummarisedChanges);
  for (size_t I = 0; I < Shown; ++I) {
    const configuration_change &Change = Changes[I];
    Summary += I == 0 ? "" : "; ";
    Summary += std::string(toString(Change.Kind)) + " " +
               std::string(toString(Change.Subject)) + " " + Change.Name;
    if (!Change.Field.empty())
      Summary += " " + Change.Field + " -> " + Change.New;
  }
  if (Changes.size() > Shown)
    Summary += "; and " + std::to_string(Changes.size() - Shown) + " more";
  return Summary;
}

} // namespace cardamom
