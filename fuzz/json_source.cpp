// Compiles Boost.JSON into the fuzz targets, so that its code has coverage instrumentation.
#include <boost/json/src.hpp>
