#include "policy/shutdown_plan.h"

namespace cardamom {

time_point shutdown_plan::requestsEndAt() const {
  return Options.StoppedAt + Options.StopTimeout - Options.FlushTime;
}

bool shutdown_plan::accepts(time_point ReceivedAt,
                            std::optional<milliseconds> TimeLimit) const {
  if (ReceivedAt <
      Options.StoppedAt + Options.DrainNotice - Options.NoticeMargin)
    return true;
  return TimeLimit && ReceivedAt + *TimeLimit <= requestsEndAt();
}

bool shutdown_plan::drainsConnections(time_point Now) const {
  return Now >= Options.StoppedAt + Options.DrainNotice;
}

bool shutdown_plan::refusesConnections(time_point Now) const {
  return drainsConnections(Now) &&
         Now - Options.StoppedAt >=
             Options.StopTimeout * Options.AcceptFraction;
}

bool shutdown_plan::answersUnfinished(time_point Now) const {
  return Now >= requestsEndAt();
}

bool shutdown_plan::isOver(time_point Now, bool Idle) const {
  return (Idle && drainsConnections(Now)) ||
         Now - Options.StoppedAt >= Options.StopTimeout;
}

} // namespace cardamom
