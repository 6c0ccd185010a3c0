#include "fuchsiadrum/node/request_plan.h"

#include <gtest/gtest.h>

#include "fuchsiadrum/core/hash.h"

namespace fuchsiadrum::node {
namespace {

class RequestPlanTest : public ::testing::Test {
 protected:
  RequestPlanTest() : catalogue({}) {
    pb::CatalogueEntry organisation;
    organisation.mutable_organisation()->set_display_name("Choir robes");
    this->Put("organisation", "choir", organisation);

    pb::CatalogueEntry key;
    key.mutable_caller_key()->set_organisation("choir");
    key.mutable_caller_key()->set_salt("0123456789abcdef");
    key.mutable_caller_key()->set_digest(Hmac("0123456789abcdef", "secret"));
    this->Put("caller-key", "choir", key);

    pb::CatalogueEntry model;
    model.mutable_model()->set_max_output_tokens(100);
    model.mutable_model()->set_max_prompt_tokens(1000);
    model.mutable_model()->set_default_class(pb::CONTRACT_DRAFT);
    this->Put("model", "drafter", model);

    pb::CatalogueEntry service;
    pb::ServiceCall& call = *service.mutable_service()->add_calls();
    call.set_method("POST");
    call.set_path_prefix("/book");
    call.set_idempotent(false);
    call.set_work_class(pb::BOOKING);
    this->Put("service", "desk", service);

    this->draft.bearer = "secret";
    this->draft.model = "drafter";
    this->draft.prompt_bound = Tokens(50);
  }

  void Put(const std::string& kind, const std::string& name,
           pb::CatalogueEntry entry) {
    pb::Record record;
    pb::CatalogueEdit& edit = *record.mutable_catalogue_edit();
    entry.set_name(name);
    entry.set_owner("head-office");
    *edit.mutable_entry() = entry;
    edit.set_key(kind + "/" + name);
    edit.set_author("root");
    edit.set_shift("morning");
    edit.set_reason("test");
    edit.set_unix_ms(1);
    edit.set_edit_id(kind + name);
    const Verdict verdict =
        this->catalogue.Apply({this->next_offset++, 0}, {"vm-a", 1}, record);
    ASSERT_EQ(verdict, Verdict::kAccepted) << kind << "/" << name;
  }

  RequestPlan Plan(const RequestStart& request) {
    return std::get<RequestPlan>(MakePlan(this->catalogue, request));
  }
  Refusal Refused(const RequestStart& request) {
    return std::get<Refusal>(MakePlan(this->catalogue, request));
  }

  catalogue::Catalogue catalogue;
  RequestStart draft;
  uint64_t next_offset = 0;
};

// Guards against a reservation below what the call can use.
TEST_F(RequestPlanTest, Draft_WithoutLimit_ReservesPromptAndModelLimit) {
  const RequestPlan plan = this->Plan(this->draft);
  EXPECT_EQ(plan.organisation, "choir");
  EXPECT_EQ(plan.worst_case, Tokens(150));
  EXPECT_EQ(plan.minimum, Tokens(100));
  EXPECT_EQ(plan.work_class, pb::CONTRACT_DRAFT);
}

// Guards against a cut of an answer whose caller asked for its full length.
TEST_F(RequestPlanTest, Draft_MayNotBeCapped_NeedsTheWorstCase) {
  this->draft.may_cap_output = false;
  this->draft.max_output = Tokens(80);
  EXPECT_EQ(this->Plan(this->draft).minimum, Tokens(130));
}

// Guards against a caller's limit above the model's.
TEST_F(RequestPlanTest, Draft_LimitAboveModel_IsLowered) {
  this->draft.max_output = Tokens(5000);
  EXPECT_EQ(this->Plan(this->draft).max_output, Tokens(100));
}

// Guards against a call that may run twice because it cannot be recognised.
TEST_F(RequestPlanTest, Booking_WithoutKey_IsRefused) {
  RequestStart booking;
  booking.bearer = "secret";
  booking.service = "desk";
  booking.method = "POST";
  booking.path = "/book/forty";
  EXPECT_EQ(this->Refused(booking).status, 400);
  booking.idempotency_key = "k";
  EXPECT_FALSE(this->Plan(booking).idempotent);
  EXPECT_EQ(this->Plan(booking).worst_case, Tokens(0));
}

// Guards against requests of unknown callers and for unknown targets.
TEST_F(RequestPlanTest, Request_UnknownKeyOrTarget_IsRefused) {
  RequestStart request = this->draft;
  request.bearer = "other";
  EXPECT_EQ(this->Refused(request).status, 401);
  request = this->draft;
  request.model = "none";
  EXPECT_EQ(this->Refused(request).status, 404);
  request = this->draft;
  request.prompt_bound = Tokens(1001);
  EXPECT_EQ(this->Refused(request).status, 413);
}

}  // namespace
}  // namespace fuchsiadrum::node
