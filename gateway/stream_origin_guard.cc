#include "gateway/stream_origin_guard.h"

#include <algorithm>

#include "gateway/clock.h"

namespace fuchsiadrum::gateway {
namespace {

/// Time for a read of the records to their end, which takes one call.
constexpr Duration kFindTimeout = std::chrono::milliseconds(400);
/// The same where no upstream of the service names a version that is known
/// here.
constexpr Duration kUnversionedFindTimeout = std::chrono::milliseconds(100);
/// Time for the record of a stream, which is written while the upstream works
/// on the first event.
constexpr Duration kRecordTimeout = std::chrono::milliseconds(1000);
/// Another gateway may reach the store.
constexpr Duration kRetryAfterUnknown = std::chrono::milliseconds(300);

}  // namespace

bool StreamOriginGuard::IsTakenUpLater() const {
  return this->active.route->kind == serving::RequestKind::kStreaming &&
         this->active.route->resumable;
}

asio::awaitable<std::optional<GatewayAnswer>> StreamOriginGuard::Find() {
  if (!this->IsTakenUpLater() || !this->active.request.last_event) {
    co_return std::nullopt;
  }
  const std::string attempt =
      serving::StreamVersions::StreamName(this->active.request.resumed_attempt);
  serving::StreamVersions& versions = this->core.Versions();
  const bool has_versions = versions.HasVersions(this->active.service);
  bool is_read = versions.IsOwn(attempt);
  if (!is_read) {
    const Duration limit =
        std::min(has_versions ? kFindTimeout : kUnversionedFindTimeout,
                 this->active.TimeLeft());
    is_read = co_await this->core.VersionRecords().ReadToPresent(limit);
  }
  serving::FoundOrigin found;
  if (is_read) {
    found = versions.Find(Now(), this->active.service, attempt);
  } else if (!versions.HasVersions(this->active.service)) {
    found.knowledge = serving::OriginKnowledge::kUnrestricted;
  }
  co_return this->Bind(found);
}

std::optional<GatewayAnswer> StreamOriginGuard::Bind(
    const serving::FoundOrigin& found) {
  if (found.knowledge == serving::OriginKnowledge::kUnrestricted) {
    this->is_unversioned = true;
    return std::nullopt;
  }
  this->origin = found.origin;
  const auto& services = this->active.route->services;
  const bool is_routed =
      std::ranges::any_of(services, [&](const serving::ServiceShare& share) {
        return share.service == found.origin.service;
      });
  std::string_view reason;
  if (found.knowledge == serving::OriginKnowledge::kUnknown ||
      found.origin.version.empty()) {
    reason = "stream's version unknown";
  } else if (!is_routed) {
    reason = "stream's service not on the route";
  } else {
    this->active.SetService(found.origin.service);
    if (!this->IsServed()) reason = "no upstream of the stream's version";
  }
  if (reason.empty()) return std::nullopt;
  this->core.Log().Write("take-up-refused",
                         {{"id", this->active.request.id},
                          {"resumes", this->active.request.resumed_attempt},
                          {"service", found.origin.service},
                          {"version", found.origin.version},
                          {"reason", reason}});
  this->core.Metrics().CountTakeUpRefused(reason);
  const bool may_change = found.knowledge == serving::OriginKnowledge::kUnknown;
  return GatewayAnswer{
      503, std::string(reason),
      may_change ? std::optional<Duration>(kRetryAfterUnknown) : std::nullopt};
}

std::function<bool(const serving::UpstreamEntry&)> StreamOriginGuard::Filter()
    const {
  if (!this->origin && !this->is_unversioned && !this->IsTakenUpLater()) {
    return {};
  }
  // Mostly all upstreams have one version.
  return [this, version = std::optional<std::string>(),
          is_accepted = false](const serving::UpstreamEntry& entry) mutable {
    if (version != entry.version) {
      version = entry.version;
      is_accepted = this->Accepts(entry);
    }
    return is_accepted;
  };
}

bool StreamOriginGuard::Accepts(const serving::UpstreamEntry& entry) const {
  if (this->origin) return this->origin->Accepts(entry);
  const TimePoint now = Now();
  serving::StreamVersions& versions = this->core.Versions();
  if (this->is_unversioned) return !versions.HasVersions(entry.service);
  if (!versions.MayBegin(entry)) return false;
  const serving::StreamOrigin begun = {.service = entry.service,
                                       .version = entry.version};
  return !versions.NeedsRecord(now, begun) ||
         this->core.VersionRecords().CanRecord(now);
}

bool StreamOriginGuard::IsServed() const {
  return this->core.Upstreams().HasVersion(Now(), this->origin->service,
                                           this->origin->version);
}

void StreamOriginGuard::OnSend(const serving::FleetUpstream& upstream) {
  this->sent = {.service = upstream.entry.service,
                .version = upstream.entry.version};
  this->needs_record = false;
  if (this->origin || !this->IsTakenUpLater()) return;
  this->stream = serving::StreamVersions::StreamName(this->active.request.id);
  this->needs_record =
      this->core.Versions().Begin(Now(), this->stream, this->sent);
  if (this->needs_record) this->core.VersionRecords().OnBegun();
}

asio::awaitable<bool> StreamOriginGuard::BeginStream(
    const serving::FleetUpstream& upstream) {
  // An upstream that was started anew under its id may have another version.
  if (this->origin) co_return !this->core.Upstreams().IsReplaced(upstream);
  if (this->core.Upstreams().IsReplaced(upstream) &&
      this->core.Versions().HasVersions(this->sent.service)) {
    this->sent.version.clear();
    if (this->IsTakenUpLater()) {
      this->needs_record =
          this->core.Versions().Begin(Now(), this->stream, this->sent);
      this->core.VersionRecords().OnBegun();
    }
  }
  if (this->needs_record) {
    const Duration limit = std::min(kRecordTimeout, this->active.TimeLeft());
    const bool is_recorded =
        co_await this->core.VersionRecords().AwaitRecorded(this->stream, limit);
    if (!is_recorded) {
      this->core.Log().Write("stream-version-unrecorded",
                             {{"id", this->active.request.id},
                              {"upstream", upstream.entry.id},
                              {"version", this->sent.version}});
      co_return false;
    }
  }
  if (this->core.Versions().HasVersions(this->sent.service)) {
    this->origin = this->sent;
  } else {
    this->is_unversioned = true;
  }
  co_return true;
}

std::string_view StreamOriginGuard::Version() const {
  return this->origin ? std::string_view(this->origin->version)
                      : std::string_view();
}

}  // namespace fuchsiadrum::gateway
