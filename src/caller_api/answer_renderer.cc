// Renders each kind of answer. The items are already JSON and are copied
// without parsing; all other values are quoted here.

#include "src/caller_api/answer_renderer.h"

#include <cassert>
#include <chrono>

#include "src/base/json_string.h"

namespace medlarspread::caller_api {

namespace {

using base::JsonNumber;
using base::JsonString;

std::string FormatRanges(const std::vector<blackboard::KeyRange>& ranges) {
  std::string text = "[";
  for (const blackboard::KeyRange& range : ranges) {
    text += text.size() > 1 ? "," : "";
    text += R"({"low":)" + std::to_string(range.low) + R"(,"high":)" +
            std::to_string(range.high) + "}";
  }
  return text + "]";
}

std::string FormatCoverage(const query::Coverage& coverage) {
  // A partial answer must not look complete, so the share is written with
  // enough digits to differ from 1.
  assert(coverage.is_partial ||
         (coverage.share == 1.0 && coverage.missing.empty()));
  return R"({"share":)" + JsonNumber(coverage.share) +
         R"(,"shards_answered":)" + std::to_string(coverage.shards_answered) +
         R"(,"shards_total":)" + std::to_string(coverage.shards_total) +
         R"(,"missing":)" + FormatRanges(coverage.missing) +
         R"(,"is_partial":)" + (coverage.is_partial ? "true" : "false") + "}";
}

std::string FormatSnapshot(const blackboard::Snapshot& snapshot) {
  return R"({"index_version":)" + std::to_string(snapshot.index_version) +
         R"(,"layout_version":)" + std::to_string(snapshot.layout_version) +
         "}";
}

std::string FormatErrorOrigin(const base::Error& error) {
  const std::string code = error.code.message();
  const std::string detail =
      error.detail.empty() ? code : code + ": " + error.detail;
  return R"("step":)" + JsonString(base::StepName(error.step)) + R"(,"peer":)" +
         JsonString(error.peer) + R"(,"detail":)" + JsonString(detail);
}

std::int64_t ToMillisecondsRoundedUp(base::Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

struct Renderer {
  http::Response operator()(const query::Answered& answer) const {
    http::Response response;
    response.body = R"({"request_id":)" + JsonString(answer.request_id) +
                    R"(,"outcome":"answered","snapshot":)" +
                    FormatSnapshot(answer.snapshot) + R"(,"coverage":)" +
                    FormatCoverage(answer.coverage) + R"(,"latency_ms":)" +
                    JsonNumber(base::ToMilliseconds(answer.latency)) +
                    R"(,"items":)" + answer.items + "}";
    return response;
  }

  http::Response operator()(const query::Refused& answer) const {
    http::Response response;
    response.status = answer.kind == query::RefusalKind::kOverload
                          ? http::kTooManyRequests
                          : http::kServiceUnavailable;
    response.headers["Retry-After"] = std::to_string(
        std::chrono::ceil<std::chrono::seconds>(answer.retry_after).count());
    response.body =
        R"({"request_id":)" + JsonString(answer.request_id) +
        R"(,"outcome":"refused","ran":false,)" +
        FormatErrorOrigin(answer.error) + R"(,"retry_after_ms":)" +
        std::to_string(ToMillisecondsRoundedUp(answer.retry_after)) + "}";
    return response;
  }

  http::Response operator()(const query::Unknown& answer) const {
    http::Response response;
    response.status = http::kGatewayTimeout;
    response.body = R"({"request_id":)" + JsonString(answer.request_id) +
                    R"(,"outcome":"unknown",)" +
                    FormatErrorOrigin(answer.error) + "}";
    return response;
  }
};

}  // namespace

http::Response RenderAnswer(const query::CallerAnswer& answer) {
  return std::visit(Renderer{}, answer);
}

http::Response RenderInvalid(int status,
                             const std::string& error,
                             const std::string& field,
                             const std::string& detail) {
  http::Response response;
  response.status = status;
  response.body = R"({"error":)" + JsonString(error) + R"(,"field":)" +
                  JsonString(field) + R"(,"detail":)" + JsonString(detail) +
                  "}";
  return response;
}

}  // namespace medlarspread::caller_api
