#include "daisystream/lists/endpointstates.h"
#include "daisystream/lists/freshness.h"
#include "daisystream/lists/limitlist.h"
#include "daisystream/lists/listedit.h"

#include <doctest/doctest.h>

namespace daisystream
{
namespace
{

using namespace std::chrono_literals;

constexpr const char *kSalt = "00112233445566778899aabbccddeeff";

std::string plansText(const std::string &hash)
{
    return R"({ // plans
  "plans": [ {"name": "trail", "rank": "urgent", "firstTokenMs": 660, "tokensPerSecond": 34, "weight": 1.0} ],
  "teams": [ {"team": "guides-north", "plan": "trail", "keys": [ {"id": "k1", "salt": ")"
        + std::string(kSalt) + R"(", "hash": ")" + hash + R"("} ]} ] })";
}

const char *const kLimits = R"({"limits": [{"plan": "trail", "models": ["assistant"], "services": ["booking"], "concurrency": 64,
    "tokensPerSecond": 4000, "maxOutputTokens": 32768}]})";

// Guards against values of a list that are read wrongly or not at all.
TEST_CASE("valid lists with comments are read")
{
    const auto read = PlanList::parse(plansText(hashSecret(kSalt, "s3_cret")), "plans");
    const auto &plans = std::get<PlanList>(read);
    CHECK(plans.findPlan(PlanName("trail"))->firstToken == 660ms);
    CHECK(plans.findTeam(TeamId("guides-north"))->plan == PlanName("trail"));
    const auto limits = std::get<LimitList>(LimitList::parse(kLimits, "limits"));
    CHECK(limits.findLimit(PlanName("trail"))->allows(ModelId("assistant")));
    CHECK_FALSE(limits.findLimit(PlanName("trail"))->allows(ServiceId("hut")));
    CHECK_FALSE(crossCheck(plans, limits).has_value());
    const auto none = std::get<LimitList>(LimitList::parse(R"({"limits": []})", "limits"));
    CHECK(crossCheck(plans, none)->detail == "plan \"trail\" has no limit");
}

// Guards against a validation that stops at the first problem, or that reports a wrong line or path.
TEST_CASE("every problem of a list is reported with its line and path")
{
    const std::string text = "{\"plans\": [\n"
                             "{\"name\": \"a\", \"rank\": \"top\", \"firstTokenMs\": 0,\n"
                             " \"tokensPerSecond\": 5, \"weight\": 1, \"colour\": 1},\n"
                             "{\"name\": \"a\", \"rank\": \"urgent\", \"firstTokenMs\": 1, \"tokensPerSecond\": 5}],\n"
                             "\"teams\": [{\"team\": \"t\", \"plan\": \"b\", \"keys\": [{\"id\": \"x_y\", \"salt\": \"0\", \"hash\": \"zz\"}]},\n"
                             "{\"team\": \"t\", \"plan\": \"a\", \"plan\": \"a\", \"keys\": {}}]}";
    const auto error = std::get<Error>(PlanList::parse(text, "plans.json"));
    CHECK((error.code == ResultCode::InvalidDocument));
    CHECK(error.detail
          == "plans.json:2: plans[0].rank: must be \"urgent\" or \"ordinary\"\n"
             "plans.json:2: plans[0].firstTokenMs: must be a whole number from 1 to 600000\n"
             "plans.json:3: plans[0].colour: unknown field\n"
             "plans.json:4: plans[1].weight: is missing\n"
             "plans.json:4: plans[1].name: plan \"a\" is given twice\n"
             "plans.json:5: teams[0].plan: there is no plan \"b\"\n"
             "plans.json:5: teams[0].keys[0].id: must not contain '_', which ends the id in a bearer key\n"
             "plans.json:5: teams[0].keys[0].salt: must be 8 to 64 bytes in lower-case hex\n"
             "plans.json:5: teams[0].keys[0].hash: must be 32 bytes in lower-case hex\n"
             "plans.json:6: teams[1].plan: field is given twice\n"
             "plans.json:6: teams[1].team: team \"t\" is given twice\n"
             "plans.json:6: teams[1].keys: must be an array");
    const auto syntax = std::get<Error>(LimitList::parse("{\n\"limits\": [}", "limits.json"));
    CHECK(syntax.detail.starts_with("limits.json:2: "));
    CHECK(syntax.detail.find('\n') == std::string::npos);
}

// Guards against accepting a bearer key whose secret, id or format is wrong.
TEST_CASE("only a bearer key with the correct secret authenticates a team")
{
    const auto plans = std::get<PlanList>(PlanList::parse(plansText(hashSecret(kSalt, "s3_cret")), "plans"));
    CHECK(std::get<TeamId>(authenticate(plans, "ds_k1_s3_cret")) == TeamId("guides-north"));
    CHECK((std::get<Error>(authenticate(plans, "")).code == ResultCode::MissingKey));
    for (const char *wrong : {"ds_k1_s3_cre", "ds_k2_s3_cret", "k1_s3_cret", "ds_k1", "ds_k1_"}) {
        CHECK((std::get<Error>(authenticate(plans, wrong)).code == ResultCode::UnknownKey));
    }
}

// Guards against an older version that arrives late and replaces a newer one.
TEST_CASE("the keeper accepts only versions with a higher number")
{
    LatestListVersion keeper;
    CHECK(keeper.offer({3, "c"}, "three"));
    CHECK_FALSE(keeper.offer({3, "d"}, "other"));
    CHECK_FALSE(keeper.offer({2, "b"}, "two"));
    CHECK(keeper.current()->text == "three");
}

// Guards against a conflict report that does not say which fields differ.
TEST_CASE("a conflict reports the current version and the fields that differ")
{
    ListBase base{.number = 4, .row = {.text = R"({"teams":[{"team":"a","plan":"x"}]})", .changes = {"c1"}}};
    ListEdit edit("plans", base, R"({"teams":[{"team":"a","plan":"y"}]})", "mine");
    CHECK(std::get<ObjectWrite>(std::get<TableAction>(edit.start())).key == "history/plans/5-mine");
    CHECK(std::get<TableWrite>(std::get<TableAction>(edit.onReply(ObjectWritten{}))).ifNumber == 4);
    CHECK(std::holds_alternative<TableRead>(std::get<TableAction>(edit.onReply(RowConflict{}))));
    const VersionedRow other{.text = R"({"teams":[{"team":"a","plan":"x"},{"team":"b","plan":"x"}]})", .changes = {"c1", "theirs"}};
    const auto step = edit.onReply(RowFound{.number = 5, .value = encode(other)});
    const auto &conflict = std::get<ListConflict>(std::get<ListEditOutcome>(step));
    CHECK(conflict.winner == ListVersion{5, "theirs"});
    CHECK(conflict.fromBase == std::vector<FieldDifference>{{"teams[b].plan", "", "\"x\""}, {"teams[b].team", "", "\"b\""}});
    CHECK(conflict.fromProposal.front() == FieldDifference{"teams[a].plan", "\"y\"", "\"x\""});
}

// Guards against reporting a change as rejected that took effect and was then followed by another operator's change.
TEST_CASE("after a lost reply, a change is found in the row although a later change followed")
{
    ListEdit edit("limits", {.number = 4, .row = {.text = "{}", .changes = {"c1"}}}, "{\"limits\":[]}", "mine");
    CHECK(std::holds_alternative<TableAction>(edit.start()));
    CHECK(std::holds_alternative<TableAction>(edit.onReply(ObjectWritten{})));
    CHECK(std::holds_alternative<TableRead>(std::get<TableAction>(edit.onReply(TableNoReply{}))));
    const auto step = edit.onReply(RowFound{.number = 6, .value = encode(VersionedRow{.text = "{}", .changes = {"c1", "mine", "later"}})});
    const auto &accepted = std::get<ListAccepted>(std::get<ListEditOutcome>(step));
    CHECK(accepted.superseded);
    CHECK(accepted.version == ListVersion{5, "mine"});
}

// Guards against a VM that admits work with lists that may be out of date, and against one that refuses work needlessly.
TEST_CASE("admission depends on the time of the last contact")
{
    const TimePoint start(1h);
    ListFreshness freshness;
    CHECK((freshness.admission(start)->code == ResultCode::NoLists));
    freshness.setListsKnown(true);
    freshness.setPeers({VmId("b"), VmId("c"), VmId("d")});
    freshness.onPlatformContact(start);
    CHECK_FALSE(freshness.admission(start + 4s).has_value());
    CHECK((freshness.admission(start + 5s)->code == ResultCode::Isolated));
    freshness.onPeerContact(VmId("b"), start + 4s, false);
    CHECK((freshness.admission(start + 5s)->code == ResultCode::Isolated));
    freshness.onPeerContact(VmId("c"), start + 4s, true);
    CHECK((freshness.admission(start + 5s)->code == ResultCode::Isolated));
    freshness.onPeerContact(VmId("c"), start + 4s, false);
    CHECK_FALSE(freshness.admission(start + 5s).has_value());
    CHECK_FALSE(freshness.assignment(start + 5900ms).has_value());
    CHECK((freshness.assignment(start + 6s)->code == ResultCode::Isolated));
    freshness.stop();
    CHECK((freshness.admission(start + 5s)->code == ResultCode::Stopping));
}

// Guards against a drain that overwrites another operator's drain.
TEST_CASE("changes of endpoint states are merged after a conflict")
{
    EndpointStateList states;
    EndpointStateEdit edit({.endpoints = {EndpointId("e1")}, .drain = true}, "mine");
    CHECK(std::holds_alternative<TableRead>(std::get<TableAction>(edit.start())));
    CHECK(std::get<TableWrite>(std::get<TableAction>(edit.onReply(RowAbsent{}))).ifNumber == 0);
    CHECK(std::holds_alternative<TableRead>(std::get<TableAction>(edit.onReply(RowConflict{}))));
    const VersionedRow theirs{.text = R"({"e2":"draining"})", .changes = {"theirs"}};
    const auto step = edit.onReply(RowFound{.number = 1, .value = encode(theirs)});
    const auto write = std::get<TableWrite>(std::get<TableAction>(step));
    CHECK(states.offer(2, write.value));
    CHECK_FALSE(states.offer(1, encode(theirs)));
    CHECK(states.draining() == std::vector<EndpointId>{EndpointId("e1"), EndpointId("e2")});
}

} // namespace
} // namespace daisystream
