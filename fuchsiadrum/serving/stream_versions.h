#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/core/types.h"
#include "fuchsiadrum/serving/fleet_upstream.h"

namespace fuchsiadrum::serving {

/// The upstreams that began a stream: those of one software version of one
/// service. Only they may go on with it.
struct StreamOrigin {
  std::string service;
  /// Empty if it is not known; an unknown version is not equal to another one.
  std::string version;

  bool operator==(const StreamOrigin&) const = default;
  /// True if the upstream may go on with the stream.
  bool Accepts(const UpstreamEntry& entry) const {
    return !this->version.empty() && this->version == entry.version &&
           this->service == entry.service;
  }
};

/// The software versions of a service that may begin streams.
struct ServiceVersions {
  std::string service;
  /// Began all streams of which there is no record.
  std::string base;
  /// Versions whose streams are recorded before their first event is forwarded.
  std::set<std::string> others;

  bool operator==(const ServiceVersions&) const = default;
  bool Lists(const std::string& version) const {
    return version == this->base || this->others.contains(version);
  }
};

/// What is known of the origin of a stream that a caller takes up.
enum class OriginKnowledge {
  kUnrestricted,  // no upstream of the service names a version
  kKnown,
  kUnknown,  // it must not go on
};

/// Result of StreamVersions::Find.
struct FoundOrigin {
  OriginKnowledge knowledge = OriginKnowledge::kUnknown;
  StreamOrigin origin;
};

/// Options of StreamVersions.
struct StreamVersionsOptions {
  /// How long after its first event a stream may be taken up.
  Duration lifetime = std::chrono::seconds(15);
  /// Age of the last read of the upstreams' entries above which the base
  /// version may have been changed by others, so that every stream is recorded.
  Duration max_entries_age = std::chrono::seconds(30);
  /// Longest pause between two reads of the entries for which an absent version
  /// counts as absent throughout.
  Duration max_entries_pause = std::chrono::seconds(2);
  /// Time after which the gateways have recorded again what a restored store
  /// has lost.
  Duration rewrite_time = std::chrono::seconds(5);
};

/// Decides which software version a stream belongs to, inside one answer and
/// over a caller's tries at any gateways. It does no I/O: the caller follows
/// and writes a stream of the store.
///
/// Where one version serves, nothing is written for a stream: it belongs to the
/// base version in the record of its service. A second version is listed in
/// that record before it begins a stream, and each of its streams is recorded
/// under the id of the caller's attempt before its first event is forwarded. So
/// a gateway that has read the stream of records to its end knows the origin of
/// every stream, whoever began it. A version leaves the record, and another one
/// becomes the base, only after no stream of it can be taken up any more, also
/// at a gateway that was cut off.
class StreamVersions {
 public:
  explicit StreamVersions(const StreamVersionsOptions& opts) : options(opts) {}

  /// Services with streams that may be taken up, and how long that may take.
  void SetServices(std::set<std::string> resumable, Duration lifetime);
  /// The entries of all upstreams were read; the versions that they name, by
  /// service. An entry without a version counts as one of version "".
  void OnEntries(TimePoint now,
                 const std::map<std::string, std::set<std::string>>& versions);
  /// The records were read to their end by a read that was begun at `begun`.
  void OnRecordsRead(TimePoint begun);
  /// The store was restored from an older copy: its records may be incomplete.
  void OnStoreRestored(TimePoint now);

  /// A record was read.
  void OnService(const ServiceVersions& record);
  void OnServiceDeleted(const std::string& service);
  void OnStream(TimePoint now, const std::string& attempt,
                const StreamOrigin& origin);
  void OnStreamDeleted(const std::string& attempt);

  /// Name under which the stream of a caller's attempt is recorded; empty
  /// without an attempt. Callers choose the ids of their attempts, of any
  /// length.
  static std::string StreamName(const std::string& attempt);

  /// True if an upstream of this entry may begin a stream.
  bool MayBegin(const UpstreamEntry& entry) const;
  /// A stream is sent to an upstream of that origin, in the caller's attempt.
  /// The attempts below are names of StreamName.
  /// Returns true if it has to be recorded before its first event is forwarded.
  bool Begin(TimePoint now, const std::string& attempt,
             const StreamOrigin& origin);
  /// True if the store has the last origin of the attempt.
  bool IsRecorded(const std::string& attempt) const;
  /// True if the streams of this version are recorded.
  bool NeedsRecord(TimePoint now, const StreamOrigin& origin) const;
  /// True if upstreams of the service name versions.
  bool HasVersions(const std::string& service) const;
  /// True if Find needs no newer read of the records: this gateway began the
  /// stream.
  bool IsOwn(const std::string& attempt) const {
    return this->own.contains(attempt);
  }
  /// Origin of the stream whose first event came in that attempt, by the
  /// records as read; `attempt` is empty if the caller named none.
  FoundOrigin Find(TimePoint now, const std::string& service,
                   const std::string& attempt) const;

  /// The records of services that are due. They may be written only if the
  /// stream of records has been read to its end.
  std::vector<ServiceVersions> PlanServices(TimePoint now) const;
  /// The attempts whose origins are to be written now, at most `most`. Report
  /// the outcome with OnStreamsWritten.
  std::vector<std::pair<std::string, StreamOrigin>> PlanStreams(
      size_t most) const;
  /// Attempts whose records are no longer needed, at most `most`.
  std::vector<std::string> PlanDeletions(TimePoint now, size_t most) const;
  void OnStreamsWritten(
      const std::vector<std::pair<std::string, StreamOrigin>>& written);
  /// Number of origins that wait to be written.
  size_t Unrecorded() const { return this->unrecorded.size(); }
  /// Number of streams with a known record.
  size_t Recorded() const { return this->records.size(); }

 private:
  struct OwnStream {
    StreamOrigin origin;
    TimePoint begun_at;
    bool is_recorded = false;
    /// An origin of the attempt has needed a record, which may be in the store.
    bool has_record = false;
  };
  struct StreamRecord {
    StreamOrigin origin;
    TimePoint read_at;
  };
  struct Service {
    std::optional<ServiceVersions> record;
    /// False if a restored store may lack the record.
    bool is_stored = false;
    /// Versions of the present entries.
    std::set<std::string> present;
    /// Since when a listed version has had no entry.
    std::map<std::string, TimePoint> absent_since;
    /// When a version came back that had been absent for so long that others
    /// may have changed the base.
    std::map<std::string, TimePoint> returned_at;
  };

  bool IsGone(TimePoint now, const Service& service,
              const std::string& version) const;
  void DropOld(TimePoint now);

  StreamVersionsOptions options;
  std::set<std::string> resumable_services;
  std::map<std::string, Service> services;
  /// Streams that this gateway began, by attempt.
  std::map<std::string, OwnStream> own;
  std::set<std::string> unrecorded;
  /// Records of all gateways, by attempt.
  std::map<std::string, StreamRecord> records;
  TimePoint entries_at;
  TimePoint records_at;
  std::optional<TimePoint> restored_at;
};

}  // namespace fuchsiadrum::serving
