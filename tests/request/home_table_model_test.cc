#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fuchsiadrum/request/shard_table.h"
#include "tests/request/claim_fleet.h"

namespace fuchsiadrum::request {
namespace {

/// Model of one shard: numbers in place of daemons and positions.
struct HomeModel {
  int home = -1;
  int witness = -1;
  uint64_t term = 0;
  bool lost = false;
  uint64_t next = 1;
};

struct TableUnderTest {
  ShardTable table{{.shards = 1}};
};

using TableCommand = rc::state::Command<HomeModel, TableUnderTest>;

pb::VmRef Vm(int number) {
  return VmRef{"vm" + std::to_string(number), 1}.ToProto();
}

enum class Kind { kAssign, kTakeOver, kReplace, kHandOver, kReset, kReopen };

/// One record with random content; its term is the current one or an old one.
struct AnyRecord : public TableCommand {
  Kind kind = *rc::gen::element(Kind::kAssign, Kind::kTakeOver, Kind::kReplace,
                                Kind::kHandOver, Kind::kReset, Kind::kReopen);
  int home = *rc::gen::inRange(0, 4);
  int witness = *rc::gen::inRange(0, 4);
  uint64_t age = *rc::gen::weightedElement<uint64_t>({{4, 0}, {1, 1}, {1, 2}});

  uint64_t Term(const HomeModel& model) const {
    return model.term >= this->age ? model.term - this->age : 0;
  }

  bool Accepts(const HomeModel& model) const {
    const bool pair = this->home != this->witness;
    const bool current = model.home >= 0 && this->Term(model) == model.term;
    switch (this->kind) {
      case Kind::kAssign:
        return model.home < 0 && pair;
      case Kind::kTakeOver:
      case Kind::kHandOver:
        return current && pair && this->home == model.witness;
      case Kind::kReplace:
        return current && this->witness != model.home;
      case Kind::kReset:
        return current && pair;
      case Kind::kReopen:
        return model.lost;
    }
    return false;
  }

  void apply(HomeModel& model) const override {  // NOLINT
    const bool accepted = this->Accepts(model);
    const uint64_t at = model.next++;
    if (!accepted) return;
    if (this->kind == Kind::kReopen) {
      model.lost = false;
      return;
    }
    if (this->kind != Kind::kReplace) model.home = this->home;
    if (this->kind == Kind::kReset) model.lost = true;
    model.witness = this->witness;
    model.term = at;
  }

  void run(const HomeModel& model,
           TableUnderTest& sut) const override {  // NOLINT
    const pb::Record record = this->Build(this->Term(model));
    const Verdict verdict =
        sut.table.Apply({model.next, 0}, {"writer", 1}, record);
    RC_ASSERT((verdict == Verdict::kAccepted) == this->Accepts(model));

    const HomeModel after = this->nextState(model);
    const Shard& shard = sut.table.At(0);
    RC_ASSERT(shard.HasHome() == (after.home >= 0));
    if (after.home < 0) return;
    RC_ASSERT(shard.home == VmRef::FromProto(Vm(after.home)));
    RC_ASSERT(shard.witness == VmRef::FromProto(Vm(after.witness)));
    RC_ASSERT(shard.witness_term.offset == after.term);
    RC_ASSERT(shard.lost == after.lost);
  }

  template <typename Change>
  void Fill(Change* change, uint64_t term) const {
    *change->mutable_term() = LogPosition{term, 0}.ToProto();
    *change->mutable_home() = Vm(this->home);
    *change->mutable_witness() = Vm(this->witness);
  }
  pb::Record Build(uint64_t term) const {
    pb::Record record;
    switch (this->kind) {
      case Kind::kAssign:
        *record.mutable_shard_assign()->mutable_home() = Vm(this->home);
        *record.mutable_shard_assign()->mutable_witness() = Vm(this->witness);
        break;
      case Kind::kTakeOver:
        this->Fill(record.mutable_shard_take_over(), term);
        break;
      case Kind::kHandOver:
        this->Fill(record.mutable_shard_hand_over(), term);
        break;
      case Kind::kReset:
        this->Fill(record.mutable_shard_reset(), term);
        break;
      case Kind::kReplace: {
        auto* replace = record.mutable_shard_replace_witness();
        *replace->mutable_term() = LogPosition{term, 0}.ToProto();
        *replace->mutable_witness() = Vm(this->witness);
        break;
      }
      case Kind::kReopen:
        record.mutable_shard_reopen()->set_shard(0);
        break;
    }
    return record;
  }
};

// Guards against a table that accepts two records for one term, whatever the
// order of the records.
RC_GTEST_PROP(HomeTableModelTest, Apply_AnyRecords_MatchesModel, ()) {
  TableUnderTest sut;
  rc::state::check(HomeModel{}, sut,
                   rc::state::gen::execOneOfWithArgs<AnyRecord>());
}

/// Random schedule over four daemons with one key: asks, lost and late
/// messages, records that only some daemons have read.
class Schedule {
 public:
  Schedule() {
    this->fleet.Assign("a", "b");
    this->fleet.FoldAll();
    this->fleet.Deliver();
  }

  void Step(int action, int choice) {
    const std::string name = this->fleet.infos[choice % 4].ref.vm;
    switch (action) {
      case 0:
        this->fleet.Ask(name, "r" + std::to_string(this->requests++), "k");
        break;
      case 1:
        this->DeliverAt(static_cast<size_t>(choice));
        break;
      case 2:
        this->fleet.Fold(name);
        break;
      case 3:
        this->Change(choice);
        break;
      case 4:
        this->fleet.TickAll(std::chrono::milliseconds(150));
        break;
      case 5:
        this->DropAt(static_cast<size_t>(choice));
        break;
      default:
        this->fleet.Deliver({name});
        break;
    }
  }
  /// Requests that were told to run.
  int Runs() {
    int runs = 0;
    for (const VmInfo& info : this->fleet.infos) {
      for (const Decision& decision : this->fleet.At(info.ref.vm).decisions) {
        runs += decision.outcome == ClaimOutcome::kRun ? 1 : 0;
      }
    }
    return runs;
  }

 private:
  void DeliverAt(size_t choice) {
    if (this->fleet.messages.empty()) return;
    const size_t i = choice % this->fleet.messages.size();
    const auto [from, envelope] = this->fleet.messages[i];
    // Every second message stays and is delivered again later.
    if (choice % 2 == 0) this->DropAt(choice);
    this->fleet.DeliverOne(from, envelope);
  }
  void DropAt(size_t choice) {
    if (this->fleet.messages.empty()) return;
    const size_t i = choice % this->fleet.messages.size();
    this->fleet.messages.erase(this->fleet.messages.begin() +
                               static_cast<std::ptrdiff_t>(i));
  }
  /// Appends a change that is valid or stale in the view of some daemon.
  void Change(int choice) {
    const std::string reader = this->fleet.infos[choice % 4].ref.vm;
    const std::string other = this->fleet.infos[(choice / 4) % 4].ref.vm;
    const Shard& shard = this->fleet.At(reader).table.At(0);
    if (shard.home.vm == other || shard.witness.vm == other) return;
    switch ((choice / 16) % 3) {
      case 0:
        this->fleet.TakeOver(shard.witness_term, shard.witness.vm, other);
        break;
      case 1:
        this->fleet.Replace(shard.witness_term, other);
        break;
      default:
        this->fleet.Reset(shard.witness_term, reader, other);
        break;
    }
  }

  ClaimFleet fleet;
  int requests = 0;
};

// Guards against any order of asks, late, doubled or lost messages and changes
// of home, witness and term that lets one non-idempotent key run twice.
RC_GTEST_PROP(HomeTableModelTest, Ask_AnySchedule_RunsAtMostOnce, ()) {
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      120, rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 1000)));
  Schedule schedule;
  for (const auto& [action, choice] : steps) {
    schedule.Step(action, choice);
    RC_ASSERT(schedule.Runs() <= 1);
  }
}

}  // namespace
}  // namespace fuchsiadrum::request
