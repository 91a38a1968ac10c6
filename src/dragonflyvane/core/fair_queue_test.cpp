#include "dragonflyvane/core/fair_queue.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace dragonflyvane;

TEST_CASE("a flood of one workspace does not delay another") {
  fair_queue<std::string> Queue;
  for (int I = 0; I < 100; ++I)
    Queue.push("flood", 100, request_class::Normal, "flood");
  Queue.push("ferry", 100, request_class::Normal, "ferry");
  std::multiset<std::string> FirstTwo = {*Queue.pop(), *Queue.pop()};
  CHECK(FirstTwo == std::multiset<std::string>{"ferry", "flood"});
  CHECK(Queue.sizeOf("flood") == 99);
}

TEST_CASE("turns follow the weights") {
  fair_queue<std::string> Queue;
  for (int I = 0; I < 100; ++I) {
    Queue.push("large", 300, request_class::Normal, "large");
    Queue.push("small", 100, request_class::Normal, "small");
  }
  int Large = 0;
  for (int I = 0; I < 80; ++I)
    Large += Queue.pop() == "large";
  CHECK(Large == 60);
}

TEST_CASE("urgent requests go first, and normal ones still go") {
  fair_queue<std::string> Queue;
  Queue.push("a", 1, request_class::Normal, "normal");
  for (int I = 0; I < 10; ++I)
    Queue.push("a", 1, request_class::Urgent, "urgent");
  for (int I = 0; I < UrgentRunLimit; ++I)
    CHECK(Queue.pop() == "urgent");
  CHECK(Queue.pop() == "normal");
  CHECK(Queue.pop() == "urgent");
}

TEST_CASE("an empty queue gives nothing") {
  fair_queue<int> Queue;
  CHECK(!Queue.pop());
  CHECK(Queue.size() == 0);
}
