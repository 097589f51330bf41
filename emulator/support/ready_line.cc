// Formats and prints the ready line.

#include "emulator/support/ready_line.h"

#include <iostream>

#include <cpprest/json.h>

namespace medlarspread::emulator {

std::string ReadyLine::ToJson() const {
  using web::json::value;
  value json;
  json["ready"] = value::string(kind);
  json["name"] = value::string(name);
  json["address"] = value::string(address);
  if (!collection.empty()) {
    json["collection"] = value::string(collection);
    json["region"] = value::string(region);
    json["failure_domain"] = value::string(failure_domain);
  }
  json["seed"] = value::number(seed);
  return json.serialize();
}

void PrintReadyLine(const ReadyLine& line) {
  std::cout << line.ToJson() << std::endl;
}

}  // namespace medlarspread::emulator
