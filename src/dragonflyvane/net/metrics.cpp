#include "dragonflyvane/net/metrics.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace dragonflyvane {

namespace {

namespace accumulators = boost::accumulators;

using latency_accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;

constexpr const char *Prefix = "dragonflyvane_";

/// Upper bounds of the histogram buckets in seconds.
constexpr std::array<double, 14> BucketBounds = {
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.012, 0.025,
    0.05,   0.1,   0.25,  0.5,   1.0,   2.0,   5.0};

struct histogram {
  latency_accumulator Total;
  /// Cumulative: each bucket counts all values up to its bound.
  std::array<uint64_t, BucketBounds.size()> Buckets{};

  void add(double Seconds) {
    Total(Seconds);
    for (size_t I = 0; I < BucketBounds.size(); ++I)
      Buckets[I] += Seconds <= BucketBounds[I];
  }
};

/// Escapes a label value.
std::string escape(const std::string &Text) {
  std::string Result;
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Result.push_back('\\');
    Result += C == '\n' ? std::string("\\n") : std::string(1, C);
  }
  return Result;
}

std::string render(const metric_labels &Labels) {
  std::string Text;
  for (const metric_label &Label : Labels) {
    Text += Text.empty() ? "" : ",";
    Text += Label.Name + "=\"" + escape(Label.Value) + "\"";
  }
  return Text;
}

std::string inBraces(const std::string &Labels) {
  return Labels.empty() ? "" : "{" + Labels + "}";
}

/// Values by metric name, then by rendered labels.
template <typename Value>
using family_map = std::map<std::string, std::map<std::string, Value>>;

template <typename Value>
void writeFamilies(std::ostream &Out, const family_map<Value> &Families,
                   const char *Type) {
  for (const auto &[Name, SeriesByLabels] : Families) {
    Out << "# TYPE " << Prefix << Name << ' ' << Type << '\n';
    for (const auto &[Labels, Number] : SeriesByLabels)
      Out << Prefix << Name << inBraces(Labels) << ' ' << Number << '\n';
  }
}

void writeHistogram(std::ostream &Out, const std::string &Name,
                    const std::string &Labels, const histogram &Histogram) {
  std::string LabelPrefix = Labels.empty() ? "" : Labels + ",";
  for (size_t I = 0; I < BucketBounds.size(); ++I)
    Out << Prefix << Name << "_bucket{" << LabelPrefix << "le=\""
        << BucketBounds[I] << "\"} " << Histogram.Buckets[I] << '\n';
  size_t Count = accumulators::count(Histogram.Total);
  Out << Prefix << Name << "_bucket{" << LabelPrefix << "le=\"+Inf\"} " << Count
      << '\n';
  Out << Prefix << Name << "_sum" << inBraces(Labels) << ' '
      << accumulators::sum(Histogram.Total) << '\n';
  Out << Prefix << Name << "_count" << inBraces(Labels) << ' ' << Count << '\n';
}

} // namespace

struct metrics::series {
  mutable std::mutex Mutex;
  family_map<uint64_t> Counters;
  family_map<double> Gauges;
  family_map<histogram> Histograms;
};

metrics::metrics() : Series(std::make_unique<series>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string &Name, const metric_labels &Labels,
                    uint64_t Increment) {
  std::lock_guard Lock(Series->Mutex);
  Series->Counters[Name][render(Labels)] += Increment;
}

void metrics::set(const std::string &Name, const metric_labels &Labels,
                  double Value) {
  std::lock_guard Lock(Series->Mutex);
  Series->Gauges[Name][render(Labels)] = Value;
}

void metrics::observe(const std::string &Name, const metric_labels &Labels,
                      duration Elapsed) {
  observe(Name, Labels, std::vector{Elapsed});
}

void metrics::observe(const std::string &Name, const metric_labels &Labels,
                      const std::vector<duration> &Elapsed) {
  std::lock_guard Lock(Series->Mutex);
  histogram &Histogram = Series->Histograms[Name][render(Labels)];
  for (duration Time : Elapsed)
    Histogram.add(std::chrono::duration<double>(Time).count());
}

std::string metrics::exposition() const {
  std::ostringstream Out;
  std::lock_guard Lock(Series->Mutex);
  writeFamilies(Out, Series->Counters, "counter");
  writeFamilies(Out, Series->Gauges, "gauge");
  for (const auto &[Name, SeriesByLabels] : Series->Histograms) {
    Out << "# TYPE " << Prefix << Name << " histogram\n";
    for (const auto &[Labels, Histogram] : SeriesByLabels)
      writeHistogram(Out, Name, Labels, Histogram);
  }
  return Out.str();
}

} // namespace dragonflyvane
