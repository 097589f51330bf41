// Parses the specification of a class's load.

#include "emulator/load/class_load.h"

#include <exception>

namespace medlarspread::emulator {

namespace {

// Returns false if the key is unknown. Throws if the value is not a number.
bool SetField(ClassLoad& load,
              const std::string& key,
              const std::string& text) {
  if (key == "rate") {
    load.rate = std::stod(text);
  } else if (key == "deadline_ms") {
    load.deadline = base::Milliseconds(std::stoll(text));
  } else if (key == "at_most_once") {
    load.is_at_most_once = std::stoi(text) != 0;
  } else if (key == "latency_ms") {
    load.latency_target = base::Milliseconds(std::stoll(text));
  } else if (key == "coverage") {
    load.coverage_target = std::stod(text);
  } else {
    return false;
  }
  return true;
}

base::Error MakeInvalid(const std::string& text) {
  return base::MakeError(base::ErrorCode::kInvalidArgument,
                         base::Step::kSettings, "", "class " + text);
}

}  // namespace

base::Result<std::vector<ClassLoad>> ParseClassLoads(
    const std::vector<std::string>& fields) {
  std::vector<ClassLoad> loads;
  for (const std::string& field : fields) {
    const auto equals = field.find('=');
    if (equals == std::string::npos) {
      return MakeInvalid(field);
    }
    const std::string key = field.substr(0, equals);
    const std::string text = field.substr(equals + 1);
    if (key == "name") {
      loads.emplace_back().name = text;
      continue;
    }
    try {
      if (loads.empty() || !SetField(loads.back(), key, text)) {
        return MakeInvalid(field);
      }
    } catch (const std::exception&) {
      return MakeInvalid(field);
    }
  }
  for (const ClassLoad& load : loads) {
    if (load.name.empty() || load.rate <= 0 || load.deadline.count() <= 0) {
      return MakeInvalid(load.name);
    }
  }
  return loads;
}

}  // namespace medlarspread::emulator
