#include "test_main.h"

#include <glib.h>

#include "forward/cookie.h"

/*
 * Guards against a cookie from the opening that is taken for the cookie of the flow's host: it must be readable with
 * the first packet after the opening and with no other packet or flow.
 */
START_TEST (opening_form_belongs_to_first_packet)
{
  GRand *random = g_rand_new_with_seed (1);

  for (int i = 0; i < 10000; i++)
    {
      uint32_t       host = wc_cookie_from_host (1 + g_rand_int (random) % 7400);
      const WcPacket opening = { .key = { g_rand_int (random), 0xc6120001, (uint16_t)g_rand_int (random), 443 },
                                 .sequence = i == 0 ? UINT32_MAX : g_rand_int (random),
                                 .flags = WC_PACKET_SYN };
      WcPacket       packet = { .key = opening.key, .sequence = opening.sequence + 1, .flags = WC_PACKET_ACK };

      packet.cookie = wc_cookie_for_opening (host, &opening);
      ck_assert_uint_ne (packet.cookie, host);
      ck_assert_uint_eq (wc_cookie_from_first_packet (&packet), host);
      packet.sequence += 200;
      ck_assert_uint_ne (wc_cookie_from_first_packet (&packet), host);
      packet.sequence -= 200;
      packet.key.caller_port++;
      ck_assert_uint_ne (wc_cookie_from_first_packet (&packet), host);
    }
  g_rand_free (random);
}
END_TEST

/* Guards against 0, which stands for no cookie, and against a cookie that differs between releases. */
START_TEST (confirmed_form_is_stable)
{
  ck_assert_uint_eq (wc_cookie_from_host (0x1234), 0x1234);
  ck_assert_uint_eq (wc_cookie_from_host (UINT32_MAX), UINT32_MAX - 1);
  for (uint64_t id = 1; id < 10000; id++)
    ck_assert_uint_ne (wc_cookie_from_host (id << 32), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, opening_form_belongs_to_first_packet);
  tcase_add_test (tests, confirmed_form_is_stable);
}

int
main (void)
{
  return wc_test_run ("cookie", add_tests);
}
