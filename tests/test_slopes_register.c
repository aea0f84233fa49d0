#include "emulator/slopes_register.h"

#include <string.h>

#include <glib.h>

#include "test_main.h"

/* Guards against an edit that changes no part or several, so that the bytes of a change are counted wrong. */
START_TEST (test_edit_changes_one_part)
{
  WcSlopesRegister *reg = wc_slopes_register_new (2, 300);

  for (int edit = 0; edit < 5; edit++)
    {
      const WcRegisterSplit *split = wc_slopes_register_get_split (reg);
      size_t                 count = wc_register_split_get_part_count (split);
      uint64_t               revision = wc_register_split_get_revision (split);
      char                 **texts = g_new0 (char *, count + 1);
      size_t                 changed = 0;

      ck_assert_uint_gt (count, 4);
      for (size_t i = 0; i < count; i++)
        {
          const char *key;
          size_t      size_bytes;
          const char *text = wc_register_split_get_part (split, i, &key, &size_bytes);

          texts[i] = g_strndup (text, size_bytes);
        }
      wc_slopes_register_edit (reg);
      split = wc_slopes_register_get_split (reg);
      ck_assert_uint_eq (wc_register_split_get_revision (split), revision + 1);
      ck_assert_uint_eq (wc_register_split_get_part_count (split), count);
      for (size_t i = 0; i < count; i++)
        {
          const char *key;
          size_t      size_bytes;
          const char *text = wc_register_split_get_part (split, i, &key, &size_bytes);

          changed += strlen (texts[i]) != size_bytes || memcmp (texts[i], text, size_bytes) != 0;
        }
      ck_assert_uint_eq (changed, 1);
      g_strfreev (texts);
    }
  wc_slopes_register_delete (reg);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, test_edit_changes_one_part);
}

int
main (void)
{
  return wc_test_run ("slopes_register", add_tests);
}
