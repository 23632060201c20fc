# Fails unless PROGRAM exits with 0 and its output is identical to the file
# EXPECTED.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE printed RESULT_VARIABLE code)
if(NOT code EQUAL 0)
  message(FATAL_ERROR "${PROGRAM} exited with ${code}")
endif()
file(READ ${EXPECTED} expected)
if(NOT printed STREQUAL expected)
  message(FATAL_ERROR
    "output differs from ${EXPECTED}; if this is intended, run: "
    "${PROGRAM} > ${EXPECTED}")
endif()
