// Parses requests about classes and renders the JSON responses to them.

#ifndef MEDLARSPREAD_ADMIN_API_CLASS_MESSAGES_H_
#define MEDLARSPREAD_ADMIN_API_CLASS_MESSAGES_H_

#include <string>
#include <variant>

#include "src/blackboard/views.h"
#include "src/http/message.h"
#include "src/targets/targets_change.h"

namespace medlarspread::admin_api {

using ParsedChange =
    std::variant<targets::TargetsChange, targets::ChangeInvalid>;

// Parses the body of `PUT /v1/classes/NAME`. Returns ChangeInvalid with the
// name of the field if one is missing, unknown or of the wrong type. Does not
// check ranges.
ParsedChange ParseSetClass(const std::string& name, const std::string& body);

// Parses the parameters of `DELETE /v1/classes/NAME`.
ParsedChange ParseRemoveClass(const std::string& name,
                              const http::Request& request);

// Renders all classes in force, or only class `name` if that is not empty (404
// if it does not exist). Returns 503 while no targets are known.
http::Response RenderClasses(const blackboard::TargetsView& view,
                             const std::string& name);

// Renders the response to a change.
http::Response RenderOutcome(const targets::ChangeOutcome& outcome);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_CLASS_MESSAGES_H_
