#pragma once

#include "daemon/upstream_attempt.h"

namespace fuchsiadrum::daemon {

/// A call of a plain service, relayed as it is.
class ServiceAttempt : public UpstreamAttempt {
 public:
  using UpstreamAttempt::UpstreamAttempt;

 protected:
  std::string Text() const override;
  bool MayReuseConnection() const override;
  void OnHead() override { this->ReadWhole(); }
  void OnBody() override;
};

}  // namespace fuchsiadrum::daemon
