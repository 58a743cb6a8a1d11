#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include "eelgrasspost/base/enumnames.h"
#include "eelgrasspost/base/errors.h"
#include "eelgrasspost/base/metrics.h"
#include "eelgrasspost/base/text.h"

namespace {

using namespace eelgrasspost::base;

constexpr auto kFullQueue = ErrorKind{ "queue_full",
                                       absl::StatusCode::kResourceExhausted,
                                       "retry after the load has dropped" };

enum class Colour
{
  Red,
  Blue,
};

constexpr auto kColours = std::array{
  EnumName<Colour>{ Colour::Red, "red" },
  EnumName<Colour>{ Colour::Blue, "blue" },
};

} // namespace

BOOST_AUTO_TEST_SUITE(errors)

BOOST_AUTO_TEST_CASE(error_from_kind_names_kind_and_remedy)
{
  const auto status = MakeError(kFullQueue, "queue of quotes holds 64");
  BOOST_TEST(IsKind(status, kFullQueue));
  BOOST_TEST(MessageOf(status) == "queue of quotes holds 64; remedy: retry "
                                  "after the load has dropped");
}

BOOST_AUTO_TEST_CASE(error_without_kind_names_its_code)
{
  BOOST_TEST(KindName(absl::NotFoundError("x")) == "NOT_FOUND");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(enumname_value_and_name_convert_both_ways)
{
  BOOST_TEST(NameOf(kColours, Colour::Blue) == "blue");
  BOOST_TEST((ValueOf(kColours, "red") == Colour::Red));
  BOOST_TEST(!ValueOf(kColours, "green").has_value());
}

BOOST_AUTO_TEST_CASE(histogram_uniform_values_gives_median_within_a_bin)
{
  Histogram histogram;
  constexpr int kValues = 1000;
  for (int i = 1; i <= kValues; ++i) {
    histogram.Record(i);
  }
  BOOST_TEST(histogram.Count() == 1000U);
  BOOST_TEST(histogram.Quantile(0.5) >= 450.0);
  BOOST_TEST(histogram.Quantile(0.5) <= 600.0);
}
