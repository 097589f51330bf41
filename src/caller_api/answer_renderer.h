// Turns answers into HTTP responses, as docs/INTERFACES.md describes them.

#ifndef MEDLARSPREAD_CALLER_API_ANSWER_RENDERER_H_
#define MEDLARSPREAD_CALLER_API_ANSWER_RENDERER_H_

#include <string>

#include "src/http/message.h"
#include "src/query/caller_answer.h"

namespace medlarspread::caller_api {

http::Response RenderAnswer(const query::CallerAnswer& answer);

// A request that was not run because of what it says. `error` is a short name,
// `field` the field at fault or empty.
http::Response RenderInvalid(int status,
                             const std::string& error,
                             const std::string& field,
                             const std::string& detail);

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_ANSWER_RENDERER_H_
