# Fails unless PROGRAM prints exactly the file EXPECTED.
execute_process(COMMAND ${PROGRAM} OUTPUT_VARIABLE printed RESULT_VARIABLE code)
if(NOT code EQUAL 0)
  message(FATAL_ERROR "${PROGRAM} ended with ${code}")
endif()
file(READ ${EXPECTED} expected)
if(NOT printed STREQUAL expected)
  message(FATAL_ERROR
    "the output differs; once it is as meant: ${PROGRAM} > ${EXPECTED}")
endif()
