# Helpers that keep the source lists out of the build files: a folder per component, with its tests beside it.

# Collects all sources below a folder except tests and program entry points.
#   OUT: variable that receives the list; FOLDER: folder below the project root.
function(daisystream_sources OUT FOLDER)
    file(GLOB_RECURSE found CONFIGURE_DEPENDS
         ${PROJECT_SOURCE_DIR}/${FOLDER}/*.cpp ${PROJECT_SOURCE_DIR}/${FOLDER}/*.capnp.c++)
    list(FILTER found EXCLUDE REGEX "(_test|main)\\.cpp$")
    set(${OUT} ${found} PARENT_SCOPE)
endfunction()

# Builds one test program from all *_test.cpp below a folder and registers one CTest test for each folder with tests.
function(daisystream_tests NAME FOLDER)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${FOLDER}/*_test.cpp)
    if(NOT tests)
        return()
    endif()
    add_executable(${NAME} ${tests} ${PROJECT_SOURCE_DIR}/cmake/testmain.cpp)
    target_link_libraries(${NAME} PRIVATE ${ARG_LINK})
    set(folders "")
    foreach(test ${tests})
        get_filename_component(folder ${test} DIRECTORY)
        file(RELATIVE_PATH folder ${PROJECT_SOURCE_DIR} ${folder})
        list(APPEND folders ${folder})
    endforeach()
    list(REMOVE_DUPLICATES folders)
    foreach(folder ${folders})
        add_test(NAME unit.${folder} COMMAND ${NAME} --source-file=*/${folder}/*_test.cpp)
        set_tests_properties(unit.${folder} PROPERTIES TIMEOUT 300)
    endforeach()
endfunction()
