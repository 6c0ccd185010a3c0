#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

#include "fuchsiadrum/budget/ledger.h"
#include "tests/budget/test_records.h"

namespace fuchsiadrum::budget {
namespace {

/// A grant as its holder uses it: the model beside the ledger.
struct ModelGrant {
  LogPosition id;
  LogPosition term;
  int64_t used = 0;
  int64_t given = 0;
  int64_t ceiling = 0;
  int64_t amount = 0;
  bool ended = false;
};

/// Holder and witness that keep the rules, with arbitrary choices.
class LedgerModel {
 public:
  void Step() {
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
        this->Apply({"operator", 1},
                    TopUpRecord(std::to_string(*rc::gen::inRange(0, 6)),
                                *rc::gen::inRange(1, 500)));
        break;
      case 1:
        this->AddGrant();
        break;
      default:
        this->UseGrant();
    }
    this->Check();
  }

 private:
  Verdict Apply(const VmRef& writer, const pb::Record& record) {
    return this->ledger.Apply({this->next++, 0}, writer, record);
  }

  void AddGrant() {
    const int64_t amount = *rc::gen::inRange(1, 300);
    const LogPosition id{this->next, 0};
    if (this->Apply(kHolder, GrantRecord(amount, amount / 4)) ==
        Verdict::kAccepted) {
      this->grants.push_back({id, id, 0, 0, amount / 4, amount});
    }
  }

  void UseGrant() {
    if (this->grants.empty()) return;
    ModelGrant& grant =
        this->grants[*rc::gen::inRange<size_t>(0, this->grants.size())];
    const int64_t room =
        std::min(grant.ceiling, grant.amount) - grant.used - grant.given;
    const int64_t part = room > 0 ? *rc::gen::inRange<int64_t>(0, room + 1) : 0;
    switch (*rc::gen::inRange(0, 8)) {
      case 0:  // spend, seen by nobody
        if (!grant.ended) grant.used += part;
        break;
      case 1:  // the witness acknowledges a raise
        if (!grant.ended) grant.ceiling = grant.amount;
        break;
      case 2:
        this->Apply(kHolder, SettleRecord(grant.id, grant.used));
        break;
      case 3:
        if (this->Apply(kFine, SealRecord(grant.id, kFine, grant.term,
                                          grant.ceiling, grant.used / 2)) ==
            Verdict::kAccepted) {
          grant.amount = std::min(grant.amount, grant.ceiling);
        }
        break;
      case 4:
        if (grant.ended || part == 0) break;
        grant.given += part;
        RC_ASSERT(this->Apply(kHolder,
                              TransferOf(grant.id, std::to_string(this->next),
                                         kOther, part)) == Verdict::kAccepted);
        break;
      case 5:
        if (grant.ended) break;
        grant.amount = std::min(grant.amount, grant.used + grant.given + part);
        this->Apply(kHolder, ReturnRecord(grant.id, grant.amount));
        break;
      case 6:
        this->Apply(kOther, WriteOffRecord(grant.id));
        break;
      case 7:
        if (grant.ended) break;
        grant.ended = true;
        RC_ASSERT(this->Apply(kHolder, CloseRecord(grant.id, grant.used, 0)) ==
                  Verdict::kAccepted);
        this->billed += grant.used;
        break;
    }
  }

  void Check() {
    RC_ASSERT(this->ledger.Verify());
    const Account* const account = this->ledger.Find("org");
    if (account == nullptr) return;

    // What was or may be used is never in the pool.
    int64_t bound = 0;
    for (const ModelGrant& grant : this->grants) {
      bound += grant.used + grant.given;
    }
    RC_ASSERT(account->topped_up - account->available >= Tokens(bound));
    RC_ASSERT(account->billed >= Tokens(this->billed));

    pb::Snapshot snapshot;
    this->ledger.Save(snapshot);
    Ledger copy;
    RC_ASSERT(copy.Load(snapshot));
    RC_ASSERT(copy.Digest() == this->ledger.Digest());
  }

  Ledger ledger;
  uint64_t next = 1;
  std::vector<ModelGrant> grants;
  int64_t billed = 0;
};

// Guards against any order of records that lets used tokens into the pool,
// loses billed spend or breaks the snapshot.
RC_GTEST_PROP(LedgerModelTest, Apply_AnyOrder_KeepsUsedTokensOutOfThePool, ()) {
  LedgerModel model;
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) model.Step();
}

}  // namespace
}  // namespace fuchsiadrum::budget
