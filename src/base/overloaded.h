// Combines several lambdas into one visitor for std::visit.

#ifndef MEDLARSPREAD_BASE_OVERLOADED_H_
#define MEDLARSPREAD_BASE_OVERLOADED_H_

namespace medlarspread::base {

template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_OVERLOADED_H_
