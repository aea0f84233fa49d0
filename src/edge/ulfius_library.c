#include "edge/ulfius_library.h"

#include <dlfcn.h>
#include <stdbool.h>
#include <stddef.h>

static const char LIBRARY[] = "libulfius.so.2.7";

static const struct
{
  const char *name;
  size_t      offset;
} FUNCTIONS[] = {
#define FUNCTION_ENTRY(name) { #name, offsetof (WcUlfius, name) },
  WC_ULFIUS_FUNCTIONS (FUNCTION_ENTRY)
};

const WcUlfius *
wc_ulfius_load (WcError *error)
{
  static WcUlfius ulfius;
  static bool     loaded;
  void           *library;

  if (loaded)
    return &ulfius;
  library = dlopen (LIBRARY, RTLD_NOW | RTLD_LOCAL);
  if (!library)
    {
      wc_error_set (error, WC_STATUS_NOT_FOUND, "cannot load %s: %s", LIBRARY, dlerror ());
      return NULL;
    }
  for (size_t i = 0; i < sizeof FUNCTIONS / sizeof FUNCTIONS[0]; i++)
    {
      void *symbol = dlsym (library, FUNCTIONS[i].name);

      if (!symbol)
        {
          wc_error_set (error, WC_STATUS_NOT_FOUND, "library %s has no function %s", LIBRARY, FUNCTIONS[i].name);
          return NULL;
        }
      *(void **)((char *)&ulfius + FUNCTIONS[i].offset) = symbol;
    }
  loaded = true;
  return &ulfius;
}
