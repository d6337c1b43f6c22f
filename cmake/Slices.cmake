# Compile options shared by the project's own code; library headers are exempt as system headers.
add_library(currantwalk_options INTERFACE)
target_compile_options(currantwalk_options INTERFACE
    -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual)
target_include_directories(currantwalk_options INTERFACE "${CMAKE_SOURCE_DIR}/src")

if(CURRANTWALK_SANITIZE)
    # With sanitizers and optimization GCC takes members of empty optionals for uninitialized; the
    # release build has the warning.
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer
        -Wno-maybe-uninitialized)
    add_link_options(-fsanitize=address,undefined)
endif()
if(CURRANTWALK_FUZZ)
    # All fuzz programs, without the rest of the tree.
    add_custom_target(fuzzers)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all)
    add_link_options(-fsanitize=address,undefined)
endif()

# currantwalk_slice(NAME SOURCES file... DEPENDS library... [TEST_SUPPORT file...]
#     [TEST_DEPENDS library...])
# Adds the library currantwalk_NAME and, where tests/ holds sources, the test program NAMETests.
function(currantwalk_slice NAME)
    cmake_parse_arguments(SLICE "" "" "SOURCES;DEPENDS;TEST_SUPPORT;TEST_DEPENDS" ${ARGN})
    add_library(currantwalk_${NAME} STATIC ${SLICE_SOURCES})
    target_link_libraries(currantwalk_${NAME} PUBLIC currantwalk_options ${SLICE_DEPENDS})
    file(GLOB TEST_SOURCES CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/tests/*test.cpp")
    if(TEST_SOURCES AND CURRANTWALK_TESTS AND NOT CURRANTWALK_FUZZ)
        add_executable(${NAME}Tests ${TEST_SOURCES} ${SLICE_TEST_SUPPORT}
            "${CMAKE_SOURCE_DIR}/src/testing/testmain.cpp")
        target_link_libraries(${NAME}Tests PRIVATE
            currantwalk_${NAME} ${SLICE_TEST_DEPENDS} PkgConfig::CPPUTEST)
        add_test(NAME ${NAME} COMMAND ${NAME}Tests)
        set_tests_properties(${NAME} PROPERTIES TIMEOUT 600)
    endif()
    file(GLOB FUZZ_SOURCES CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/tests/*fuzz.cpp")
    if(CURRANTWALK_FUZZ)
        foreach(FUZZ_SOURCE ${FUZZ_SOURCES})
            get_filename_component(FUZZ_NAME ${FUZZ_SOURCE} NAME_WE)
            add_executable(${FUZZ_NAME} ${FUZZ_SOURCE})
            add_dependencies(fuzzers ${FUZZ_NAME})
            target_link_options(${FUZZ_NAME} PRIVATE -fsanitize=fuzzer)
            target_link_libraries(${FUZZ_NAME} PRIVATE currantwalk_${NAME} ${SLICE_TEST_DEPENDS})
        endforeach()
    endif()
endfunction()

# currantwalk_tool(NAME DEPENDS library...) adds a program with a thin main.cpp.
function(currantwalk_tool NAME)
    cmake_parse_arguments(TOOL "" "" "DEPENDS" ${ARGN})
    add_executable(${NAME} main.cpp)
    target_link_libraries(${NAME} PRIVATE currantwalk_options ${TOOL_DEPENDS})
endfunction()
