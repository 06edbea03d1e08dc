#include <catch2/catch.hpp>

#include <rapidjson/document.h>

#include "wsctl/condition.hpp"

using namespace weldsail;

/// Conditions of runbook steps, on answers that were made up.
namespace {

constexpr const char* members = R"({"members":[
  {"address":"a:1","state":"broken","release":2},
  {"address":"a:1","state":"alive","release":3},
  {"address":"b:1","state":"suspected","release":2}]})";

bool met(const char* condition) {
  rapidjson::Document document;
  document.Parse(condition);
  REQUIRE(condition_faults(document).empty());
  return condition_met(document, members);
}

}  // namespace

TEST_CASE("each element that is meant must fit, which holds where none is meant") {
  CHECK(met(R"({"pointer":"/members","where":{"state":"alive"},"each":{"release":3}})"));
  CHECK_FALSE(met(R"({"pointer":"/members","where":{"address":"a:1"},"each":{"release":3}})"));
  CHECK(met(R"({"pointer":"/members","where":{"address":"c:1"},"each":{"release":3}})"));
}

TEST_CASE("some element must fit whole: a process that isn't alive is not back") {
  CHECK(met(R"({"pointer":"/members","some":{"address":"a:1","state":"alive","release":3}})"));
  CHECK_FALSE(met(R"({"pointer":"/members","some":{"address":"a:1","state":"alive","release":2}})"));
  CHECK_FALSE(met(R"({"pointer":"/members","some":{"address":"b:1","state":"alive","release":2}})"));
  CHECK_FALSE(met(R"({"pointer":"/members","some":{"address":"c:1","state":"alive","release":3}})"));
  CHECK_FALSE(met(R"({"pointer":"/nothing","some":{"address":"a:1"}})"));
}

TEST_CASE("a condition with unknown words or without objects is refused") {
  rapidjson::Document document;
  document.Parse(R"({"pointer":"/members","some":[1]})");
  CHECK(condition_faults(document).size() == 1);
  document.Parse(R"({"pointer":"/members","any":{}})");
  CHECK(condition_faults(document).size() == 1);
}
