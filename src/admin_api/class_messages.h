// The JSON of the calls about classes: what operators send and are answered.

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

// The change that `PUT /v1/classes/NAME` asks for. Ranges are not checked
// here; a field that is missing, unknown or of the wrong type is named.
ParsedChange ParseSetClass(const std::string& name, const std::string& body);

// The change that `DELETE /v1/classes/NAME` asks for.
ParsedChange ParseRemoveClass(const std::string& name,
                              const http::Request& request);

// All classes in force, or the one called `name` if that is not empty (404 if
// there is none). 503 while no targets are known.
http::Response RenderClasses(const blackboard::TargetsView& view,
                             const std::string& name);

// The answer to a change.
http::Response RenderOutcome(const targets::ChangeOutcome& outcome);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_CLASS_MESSAGES_H_
