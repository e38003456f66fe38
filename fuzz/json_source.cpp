// Compiles Boost.JSON into the fuzz targets, so that its coverage guides the fuzzer.
#include <boost/json/src.hpp>
