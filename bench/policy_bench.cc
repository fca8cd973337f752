#include <benchmark/benchmark.h>
BENCHMARK_MAIN();
