#ifndef Libraries_LibJob_ControlView_h
#define Libraries_LibJob_ControlView_h

#include "LibProtocol/ControlUpdate.h"

#include <memory>
#include <string_view>

namespace vanillaworks::job {

/**
 * The latest operators' configuration that this process knows. Its revision
 * never decreases, whichever peer an update comes from. Not thread safe.
 */
class ControlView
{
public:
  /** Returns false if aUpdate is not newer than the current revision. */
  bool Adopt(protocol::ControlUpdate aUpdate);

  /** Whether a configuration has been received at all. */
  bool IsKnown() const { return current_->version != ConfigurationVersion(); }
  std::uint64_t Revision() const { return current_->revision; }
  const protocol::ControlUpdate& Current() const { return *current_; }

  /**
   * Returns the route of aHost with the longest matching path prefix, or null
   * if none matches.
   */
  const protocol::RouteRow* FindRoute(std::string_view aHost,
                                      std::string_view aPath) const;
  bool IsClosed(const FailureDomainId& aDomain) const;
  /** Whether some route names the service; true if no route is known. */
  bool HasRouteTo(const std::string& aService) const;

private:
  std::shared_ptr<const protocol::ControlUpdate> current_ =
    std::make_shared<protocol::ControlUpdate>();
};

}

#endif
