// The administration API with a targets controller and an in-memory store:
// authorization, routing, errors that name the invalid field, and every outcome
// of a change.

#include "src/admin_api/admin_api.h"

#include <optional>
#include <sstream>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "src/admin_api/bearer_token.h"

// NOTE: must follow gtest, because it defines the macro U, which gtest uses as
// an identifier.
#include <cpprest/json.h>

namespace medlarspread::admin_api {
namespace {

using http::Request;
using http::Response;
using web::json::value;

constexpr char kToken[] = "secret";
constexpr base::Duration kLong = base::Milliseconds(30000);

// A store with one entry. Tests can set the result of reads and writes.
class MemoryStore {
 public:
  explicit MemoryStore(base::TaskRunner runner) : runner_(std::move(runner)) {}

  store::Store store() {
    store::Store store;
    store.read = [this](const std::string&, base::Duration,
                        const store::Store::ReadCallback& callback) {
      runner_.Post([this, callback] {
        callback(failure ? base::Result<std::optional<store::Entry>>(*failure)
                         : entry_);
      });
    };
    store.compare_and_swap =
        [this](const std::string& key, const std::string& text,
               std::int64_t /*expected_version*/, base::Duration,
               const store::Store::WriteCallback& callback) {
          entry_ = store::Entry{key, text, ++version_};
          failure = failure_of_writes;
          runner_.Post([this, callback] {
            callback(failure_of_writes
                         ? base::Result<std::int64_t>(*failure_of_writes)
                         : version_);
          });
        };
    store.watch = [](const std::string&, std::int64_t, base::Duration,
                     const store::Store::ReadCallback&) {};
    return store;
  }

  // If set, the errors that reads and writes return. A write that returns an
  // error still takes effect.
  std::optional<base::Error> failure;
  std::optional<base::Error> failure_of_writes;

 private:
  base::TaskRunner runner_;
  std::optional<store::Entry> entry_;
  std::int64_t version_ = 0;
};

class AdminApiTest : public testing::Test {
 protected:
  AdminApiTest() {
    blackboard::MembershipView membership;
    membership.is_settled = true;
    blackboard_.membership.Write(membership);
    controller_.Start();
    scheduler_->Advance(kLong);
  }

  Response Send(const Request& request) {
    std::optional<Response> answer;
    api_.handler()(request, [&answer](Response response) {
      answer = std::move(response);
    });
    scheduler_->Advance(kLong);
    EXPECT_TRUE(answer.has_value()) << request.path;
    return answer.value_or(Response());
  }
  Response Call(const std::string& method,
                const std::string& path,
                const std::string& body = "",
                const std::map<std::string, std::string>& parameters = {}) {
    Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.parameters = parameters;
    request.headers["authorization"] = std::string("Bearer ") + kToken;
    return Send(request);
  }
  // Returns a change with one field replaced by `text`, or omitted if `text` is
  // empty.
  static std::string Body(const std::string& field = "",
                          const std::string& text = "") {
    std::vector<std::pair<std::string, std::string>> fields = {
        {"change_id", "\"c1\""}, {"collection", "\"archive\""},
        {"latency_ms", "91.5"},  {"percentile", "99"},
        {"coverage", "0.98"},    {"coverage_percentile", "99.5"}};
    if (field == "expected_revision" || field == "other") {
      fields.emplace_back(field, "");
    }
    std::string body;
    for (const auto& [name, fallback] : fields) {
      const std::string& chosen = name == field ? text : fallback;
      if (!chosen.empty()) {
        body += body.empty() ? "{\"" : ",\"";
        body += name;
        body += "\":";
        body += chosen;
      }
    }
    return body + "}";
  }
  static value Json(const Response& response) {
    return value::parse(response.body);
  }

  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1000, 5000);
  std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  base::TaskRunner runner_{scheduler_};
  MemoryStore store_{runner_};
  base::Random random_{42};
  blackboard::Blackboard blackboard_;
  std::ostringstream log_text_;
  base::Log log_{{}, log_text_};
  targets::TargetsController controller_{
      {.self = "a", .failure_domain = "d"},
      base::Clock(time_),
      random_,
      runner_,
      store_.store(),
      {[](const std::string&, peer::Message) -> base::Status {
        return base::Done{};
      }},
      blackboard_};
  AdminApi api_{
      {.token = kToken},
      {.describe_queues = [] { return R"({"queued":3})"; },
       .report_burn =
           [](const std::string& format, const http::Responder& respond) {
             respond({http::kOk, {}, "burn " + format, "text/plain"});
           },
       .write_metrics = [] { return std::string("metric 1\n"); }},
      controller_,
      blackboard_,
      log_};
};

TEST(BearerTokenTest, OnlyTheWholeTokenIsAuthorized) {
  EXPECT_TRUE(IsAuthorized("Bearer secret", "secret"));
  EXPECT_FALSE(IsAuthorized("Bearer secre", "secret"));
  EXPECT_FALSE(IsAuthorized("Bearer secrets", "secret"));
  EXPECT_FALSE(IsAuthorized("Basic secret", "secret"));
  EXPECT_FALSE(IsAuthorized("secret", "secret"));
  EXPECT_FALSE(IsAuthorized("Bearer ", ""));
}

TEST_F(AdminApiTest, EveryCallButMetricsNeedsTheToken) {
  for (const char* path : {"/v1/classes", "/v1/classes/x", "/v1/status",
                           "/v1/burn", "/v1/log-level", "/other"}) {
    for (const char* method : {"GET", "PUT", "DELETE"}) {
      Request request;
      request.method = method;
      request.path = path;
      EXPECT_EQ(Send(request).status, http::kUnauthorized) << path;
      request.headers["authorization"] = "Bearer wrong";
      EXPECT_EQ(Send(request).status, http::kUnauthorized) << path;
    }
  }
  Request metrics;
  metrics.path = "/metrics";
  EXPECT_EQ(Send(metrics).status, http::kOk);
  EXPECT_EQ(Send(metrics).body, "metric 1\n");
}

TEST_F(AdminApiTest, UnknownPagesAndMethodsAreTold) {
  EXPECT_EQ(Call("GET", "/").status, http::kNotFound);
  EXPECT_EQ(Call("GET", "/v1/classes/").status, http::kNotFound);
  const Response response = Call("POST", "/v1/classes/x");
  EXPECT_EQ(response.status, http::kMethodNotAllowed);
  EXPECT_EQ(response.headers.at("Allow"), "GET, PUT, DELETE");
}

TEST_F(AdminApiTest, ClassIsSetReadAndRemoved) {
  const Response set = Call("PUT", "/v1/classes/counter", Body());
  ASSERT_EQ(set.status, http::kOk) << set.body;
  EXPECT_EQ(Json(set).at("revision").as_integer(), 1);

  const Response read = Call("GET", "/v1/classes/counter");
  ASSERT_EQ(read.status, http::kOk);
  EXPECT_EQ(read.body,
            R"({"revision":1,"classes":[{"name":"counter",)"
            R"("collection":"archive","latency_ms":91.5,"percentile":99,)"
            R"("coverage":0.98,"coverage_percentile":99.5}]})");
  EXPECT_EQ(Call("GET", "/v1/classes").body, read.body);

  EXPECT_EQ(Call("GET", "/v1/classes/none").status, http::kNotFound);
  EXPECT_EQ(Call("DELETE", "/v1/classes/counter").status, http::kBadRequest);
  const Response removed =
      Call("DELETE", "/v1/classes/counter", "", {{"change_id", "c2"}});
  ASSERT_EQ(removed.status, http::kOk) << removed.body;
  EXPECT_EQ(Json(removed).at("revision").as_integer(), 2);
  EXPECT_EQ(
      Call("DELETE", "/v1/classes/counter", "", {{"change_id", "c3"}}).status,
      http::kNotFound);
}

TEST_F(AdminApiTest, FaultsNameTheField) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"change_id", ""},
      {"change_id", "7"},
      {"change_id", "\"a b\""},
      {"collection", "\"\""},
      {"latency_ms", "\"5\""},
      {"latency_ms", "0.5"},
      {"latency_ms", "1e300"},
      {"percentile", "100"},
      {"coverage", "-1"},
      {"coverage_percentile", ""},
      {"expected_revision", "1.5"},
      {"expected_revision", "-1"},
      {"other", "1"}};
  for (const auto& [field, text] : cases) {
    const Response response =
        Call("PUT", "/v1/classes/counter", Body(field, text));
    EXPECT_EQ(response.status, http::kBadRequest) << field << text;
    EXPECT_EQ(Json(response).at("field").as_string(), field) << text;
  }
  EXPECT_EQ(Json(Call("PUT", "/v1/classes/A", Body())).at("field").as_string(),
            "name");
  EXPECT_EQ(Json(Call("PUT", "/v1/classes/x", "[")).at("field").as_string(),
            "body");
  const Response revision =
      Call("DELETE", "/v1/classes/x", "",
           {{"change_id", "c"}, {"expected_revision", "1x"}});
  EXPECT_EQ(Json(revision).at("field").as_string(), "expected_revision");
  EXPECT_EQ(blackboard_.targets.Read()->revision, 0);
}

TEST_F(AdminApiTest, OversizedBodyIsRefused) {
  const std::string body(AdminSettings().max_body_bytes + 1, ' ');
  EXPECT_EQ(Call("PUT", "/v1/classes/x", body).status, http::kPayloadTooLarge);
}

TEST_F(AdminApiTest, LoserIsToldTheWinner) {
  ASSERT_EQ(Call("PUT", "/v1/classes/counter", Body()).status, http::kOk);
  std::string late = Body("expected_revision", "0");
  late.replace(late.find("c1"), 2, "c9");
  const Response response = Call("PUT", "/v1/classes/counter", late);
  ASSERT_EQ(response.status, http::kConflict) << response.body;
  EXPECT_EQ(Json(response).at("revision").as_integer(), 1);
  EXPECT_EQ(Json(response).at("winner_change_id").as_string(), "c1");
}

TEST_F(AdminApiTest, OutageIsRefusedWithATimeToComeBack) {
  store_.failure = base::MakeError(base::ErrorCode::kUnavailable,
                                   base::Step::kReadStore, "store:1", "down");
  const Response response = Call("PUT", "/v1/classes/counter", Body());
  ASSERT_EQ(response.status, http::kServiceUnavailable) << response.body;
  EXPECT_EQ(response.headers.at("Retry-After"), "1");
  EXPECT_EQ(Json(response).at("outcome").as_string(), "refused");
  EXPECT_EQ(Json(response).at("retry_after_ms").as_integer(), 1000);
  EXPECT_EQ(Json(response).at("step").as_string(), "read_store");
  EXPECT_EQ(Json(response).at("peer").as_string(), "store:1");
}

TEST_F(AdminApiTest, UnsettledWriteIsUnknown) {
  store_.failure_of_writes =
      base::MakeError(base::ErrorCode::kUnknownOutcome, base::Step::kWriteStore,
                      "store:1", "no reply");
  const Response response = Call("PUT", "/v1/classes/counter", Body());
  ASSERT_EQ(response.status, http::kGatewayTimeout) << response.body;
  EXPECT_EQ(Json(response).at("outcome").as_string(), "unknown");
}

TEST_F(AdminApiTest, StatusCountsWhereARevisionIsInForce) {
  ASSERT_EQ(Call("PUT", "/v1/classes/counter", Body()).status, http::kOk);
  blackboard::MembershipView membership;
  membership.self = "a";
  const auto add = [&](const std::string& name, std::int64_t revision,
                       blackboard::MemberState state) {
    blackboard::Member member;
    member.name = name;
    member.targets_revision = revision;
    member.state = state;
    membership.members[name] = member;
  };
  add("a", 0, blackboard::MemberState::kLive);
  add("b", 1, blackboard::MemberState::kLive);
  add("c", 0, blackboard::MemberState::kLive);
  add("d", 1, blackboard::MemberState::kLeaving);
  blackboard_.membership.Write(membership);
  blackboard::UpstreamsView upstreams;
  blackboard::Upstream leaf;
  leaf.name = "u1";
  leaf.state = blackboard::UpstreamState::kDraining;
  leaf.holdings = {{{4, 2}, {0, 100}}};
  upstreams.upstreams["u1"] = leaf;
  blackboard_.upstreams.Write(upstreams);

  const value status = Json(Call("GET", "/v1/status"));
  EXPECT_EQ(status.at("vm").as_string(), "a");
  EXPECT_EQ(status.at("targets").at("summary").as_string(),
            "in force on 2 of 3");
  EXPECT_EQ(status.at("targets").at("in_force_on").as_integer(), 2);
  EXPECT_EQ(status.at("vms").size(), 4U);
  EXPECT_FALSE(status.at("vms").at(2).at("is_in_force").as_bool());
  EXPECT_EQ(status.at("vms").at(3).at("state").as_string(), "leaving");
  EXPECT_EQ(status.at("upstreams").at(0).at("state").as_string(), "draining");
  EXPECT_EQ(status.at("upstreams").at(0).at("holdings"),
            value::parse(R"([{"index_version":4,"layout_version":2,
                              "low":0,"high":100}])"));
  EXPECT_EQ(status.at("queues").at("queued").as_integer(), 3);
  EXPECT_EQ(status.at("lifecycle").at("state").as_string(), "starting");
  EXPECT_EQ(status.at("alarms").size(), 0U);
}

TEST_F(AdminApiTest, StatusShowsAlarms) {
  ASSERT_EQ(Call("PUT", "/v1/classes/counter", Body()).status, http::kOk);
  controller_.DidSeeRevision("b", 1, 12345);
  scheduler_->Advance(kLong);
  const value alarms = Json(Call("GET", "/v1/status")).at("alarms");
  ASSERT_EQ(alarms.size(), 1U);
  EXPECT_EQ(alarms.at(0).at("name").as_string(), "targets_differ");
}

TEST_F(AdminApiTest, BurnReportComesInTheFormatAskedFor) {
  EXPECT_EQ(Call("GET", "/v1/burn").body, "burn json");
  EXPECT_EQ(Call("GET", "/v1/burn", "", {{"format", "html"}}).body,
            "burn html");
}

TEST_F(AdminApiTest, LogLevelIsSetOrNamedAsWrong) {
  EXPECT_EQ(Call("PUT", "/v1/log-level", R"({"level":"debug"})").status,
            http::kOk);
  EXPECT_EQ(log_.level(), base::LogLevel::kDebug);
  for (const char* body : {"", "{}", R"({"level":3})", R"({"level":"loud"})"}) {
    const Response response = Call("PUT", "/v1/log-level", body);
    EXPECT_EQ(response.status, http::kBadRequest);
    EXPECT_EQ(Json(response).at("field").as_string(), "level");
  }
  EXPECT_EQ(log_.level(), base::LogLevel::kDebug);
}

}  // namespace
}  // namespace medlarspread::admin_api
