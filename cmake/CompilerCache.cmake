# Paths below the checkout are hashed relative to it, so that every checkout on a machine shares the cache.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${PROJECT_SOURCE_DIR} CCACHE_NOHASHDIR=1
                                  ${CCACHE_PROGRAM})
endif()
