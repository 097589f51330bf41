# One test per model of spec/: it must hold, and its broken variants must fail.
foreach(model claims targets stop snapshot gather)
  add_test(NAME spec.${model} COMMAND ${CMAKE_SOURCE_DIR}/spec/check ${model})
  set_tests_properties(spec.${model} PROPERTIES TIMEOUT 300)
endforeach()
