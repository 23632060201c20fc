// A list with at least one item; an empty one doesn't compile.
//
//   .zones = {Zone{.name = "leuven"}, Zone{.name = "mechelen"}}

#ifndef OPERATORS_ONE_OR_MORE_H_
#define OPERATORS_ONE_OR_MORE_H_

#include <concepts>
#include <utility>
#include <vector>

namespace knapweedroad::operators {

template <typename Item>
class OneOrMore {
 public:
  // Implicit, so that a braced list can be used as one.
  template <std::convertible_to<Item>... Rest>
  // NOLINTNEXTLINE(google-explicit-constructor)
  OneOrMore(Item first, Rest... rest)
      : items{std::move(first), std::move(rest)...} {}

  void Add(Item item) { this->items.push_back(std::move(item)); }

  auto begin() const { return this->items.begin(); }
  auto end() const { return this->items.end(); }

 private:
  std::vector<Item> items;
};

}  // namespace knapweedroad::operators

#endif  // OPERATORS_ONE_OR_MORE_H_
