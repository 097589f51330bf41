// Renders answers as HTTP responses in the format of docs/INTERFACES.md.

#ifndef MEDLARSPREAD_CALLER_API_ANSWER_RENDERER_H_
#define MEDLARSPREAD_CALLER_API_ANSWER_RENDERER_H_

#include <string>

#include "src/http/message.h"
#include "src/query/caller_answer.h"

namespace medlarspread::caller_api {

http::Response RenderAnswer(const query::CallerAnswer& answer);

// The response to an invalid request, which was not executed. `error` is a
// short name; `field` is the invalid field, or empty.
http::Response RenderInvalid(int status,
                             const std::string& error,
                             const std::string& field,
                             const std::string& detail);

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_ANSWER_RENDERER_H_
