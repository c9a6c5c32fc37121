#include "LibJob/ControlView.h"

#include <algorithm>

namespace vanillaworks::job {

bool
ControlView::Adopt(protocol::ControlUpdate aUpdate)
{
  if (aUpdate.revision <= current_->revision) {
    return false;
  }
  current_ =
    std::make_shared<const protocol::ControlUpdate>(std::move(aUpdate));
  return true;
}

const protocol::RouteRow*
ControlView::FindRoute(std::string_view aHost, std::string_view aPath) const
{
  const protocol::RouteRow* best = nullptr;
  for (const auto& route : current_->routes) {
    bool isMatch = route.host == aHost && aPath.starts_with(route.pathPrefix);
    if (!isMatch) {
      continue;
    }
    if (!best || route.pathPrefix.size() > best->pathPrefix.size()) {
      best = &route;
    }
  }
  return best;
}

bool
ControlView::HasRouteTo(const std::string& aService) const
{
  const auto& routes = current_->routes;
  return routes.empty() || std::any_of(routes.begin(),
                                       routes.end(),
                                       [&aService](const auto& aRoute) {
                                         return aRoute.service == aService;
                                       });
}

bool
ControlView::IsClosed(const FailureDomainId& aDomain) const
{
  const auto& closed = current_->closedDomains;
  return std::find(closed.begin(), closed.end(), aDomain) != closed.end();
}

}
