# hq_package(NAME base SOURCES a.cc b.cc LINKS hq_model ...): one static library per package.
function(hq_package)
  cmake_parse_arguments(P "" "NAME" "SOURCES;LINKS" ${ARGN})
  add_library(hq_${P_NAME} STATIC ${P_SOURCES})
  target_link_libraries(hq_${P_NAME} PUBLIC ${P_LINKS} Threads::Threads)
endfunction()

# hq_test(NAME policy_test SOURCES a.cc LINKS hq_policy): one CppUnit runner, one ctest entry.
# Every test runs with a fixed RapidCheck seed, so that CI gives the same verdict on every run.
function(hq_test)
  cmake_parse_arguments(T "" "NAME;TIMEOUT" "SOURCES;LINKS" ${ARGN})
  if(NOT T_TIMEOUT)
    set(T_TIMEOUT 120)
  endif()
  add_executable(${T_NAME} ${T_SOURCES} ${CMAKE_SOURCE_DIR}/tests/main.cc)
  target_link_libraries(${T_NAME} PRIVATE ${T_LINKS} cppunit rapidcheck Threads::Threads)
  add_dependencies(all_tests ${T_NAME})
  add_test(NAME ${T_NAME} COMMAND ${T_NAME})
  set_tests_properties(${T_NAME} PROPERTIES
    TIMEOUT ${T_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=1;HQ_BIN=${CMAKE_RUNTIME_OUTPUT_DIRECTORY};HQ_SOURCE=${CMAKE_SOURCE_DIR}")
endfunction()
