#include <wigeoncart/ticket.h>
#include <wigeoncart/token.h>

#include <string.h>

#include "test_main.h"

static const WcTicket TICKET = {
  .service = 1,
  .customer = 2,
  .domain = 3,
  .owner = 4,
  .incarnation = 5,
  .worker = 6,
  .flow = 9,
  .serial = 7,
  .expiry_us = 8,
};

static const WcTicket MAX_TICKET = {
  .service = UINT32_MAX,
  .customer = UINT32_MAX,
  .domain = UINT32_MAX,
  .owner = UINT64_MAX,
  .incarnation = UINT64_MAX,
  .worker = UINT32_MAX,
  .flow = UINT64_MAX,
  .serial = UINT64_MAX,
  .expiry_us = UINT64_MAX,
};

static WcKeyring *
make_keyring (uint32_t epoch)
{
  WcKey key = { .epoch = epoch, .secret = { 1, 2, 3 } };

  return wc_keyring_new (&key, 1);
}

static void
assert_equal (const WcTicket *a, const WcTicket *b)
{
  ck_assert_uint_eq (a->service, b->service);
  ck_assert_uint_eq (a->customer, b->customer);
  ck_assert_uint_eq (a->domain, b->domain);
  ck_assert_uint_eq (a->owner, b->owner);
  ck_assert_uint_eq (a->incarnation, b->incarnation);
  ck_assert_uint_eq (a->worker, b->worker);
  ck_assert_uint_eq (a->flow, b->flow);
  ck_assert_uint_eq (a->serial, b->serial);
  ck_assert_uint_eq (a->expiry_us, b->expiry_us);
}

/* Guards against fields that are lost or swapped by sealing and opening, and a ticket of maximum length that does not
 * fit. */
START_TEST (test_round_trip)
{
  static const WcTicket EMPTY = { 0 };
  const WcTicket *const TICKETS[] = { &TICKET, &MAX_TICKET, &EMPTY };
  WcKeyring            *keyring = make_keyring (1);
  uint8_t               sealed[WC_TICKET_MAX_BYTES];
  WcTicket              opened;
  WcSealer              sealer;
  size_t                size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_ticket_seal (&sealer, keyring, TICKETS[_i], sealed);
  ck_assert_uint_gt (size_bytes, 0);
  ck_assert_uint_le (size_bytes, WC_TICKET_MAX_BYTES);
  memset (&opened, 0xaa, sizeof opened);
  ck_assert_int_eq (wc_ticket_open (keyring, sealed, size_bytes, &opened), WC_STATUS_OK);
  assert_equal (&opened, TICKETS[_i]);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against opening a modified or truncated ticket: an order could run twice with a forged serial. */
START_TEST (test_forged)
{
  WcKeyring *keyring = make_keyring (1);
  uint8_t    sealed[WC_TICKET_MAX_BYTES + 1] = { 0 };
  WcTicket   opened = TICKET;
  WcSealer   sealer;
  size_t     size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_ticket_seal (&sealer, keyring, &MAX_TICKET, sealed);
  for (size_t bit = 0; bit < 8 * size_bytes; bit++)
    {
      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
      ck_assert_int_eq (wc_ticket_open (keyring, sealed, size_bytes, &opened),
                        bit < 32 ? WC_STATUS_UNKNOWN_KEY : WC_STATUS_FORGED);
      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
  for (size_t size = 0; size < size_bytes; size++)
    ck_assert_int_eq (wc_ticket_open (keyring, sealed, size, &opened), WC_STATUS_FORGED);
  ck_assert_int_eq (wc_ticket_open (keyring, sealed, sizeof sealed, &opened), WC_STATUS_FORGED);
  ck_assert_int_eq (wc_ticket_open (keyring, NULL, 0, &opened), WC_STATUS_FORGED);
  assert_equal (&opened, &TICKET);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against opening a ticket whose key was withdrawn, and against sealing without a key. */
START_TEST (test_wrong_epoch)
{
  WcKeyring *keyring = make_keyring (1);
  WcKeyring *newer = make_keyring (2);
  WcKeyring *empty = wc_keyring_new (NULL, 0);
  uint8_t    sealed[WC_TICKET_MAX_BYTES];
  WcTicket   opened;
  WcSealer   sealer;
  size_t     size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_ticket_seal (&sealer, keyring, &TICKET, sealed);
  ck_assert_int_eq (wc_ticket_open (newer, sealed, size_bytes, &opened), WC_STATUS_UNKNOWN_KEY);
  ck_assert_uint_eq (wc_ticket_seal (&sealer, empty, &TICKET, sealed), 0);
  wc_keyring_unref (keyring);
  wc_keyring_unref (newer);
  wc_keyring_unref (empty);
}
END_TEST

/* Guards against opening a token as a ticket: every caller has a token and could run orders with it. */
START_TEST (test_token_as_ticket)
{
  WcKeyring *keyring = make_keyring (1);
  WcToken    token = { .service = 1, .owner = 2, .incarnation = 3, .expiry_wall_s = 4 };
  uint8_t    sealed[WC_TOKEN_MAX_BYTES];
  WcTicket   opened;
  WcSealer   sealer;
  size_t     size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_token_seal (&sealer, keyring, &token, sealed);
  ck_assert_int_eq (wc_ticket_open (keyring, sealed, size_bytes, &opened), WC_STATUS_FORGED);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against a crash when an authentic ticket contains a malformed body. */
START_TEST (test_malformed_body)
{
  static const uint8_t MALFORMED[] = { 0x0d, 0x01 };
  WcKeyring           *keyring = make_keyring (1);
  uint8_t              sealed[WC_TICKET_MAX_BYTES];
  WcTicket             opened;
  WcSealer             sealer;
  size_t               size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_seal (&sealer, keyring, WC_KEY_USE_TICKET, MALFORMED, sizeof MALFORMED, sealed, sizeof sealed);
  ck_assert_int_eq (wc_ticket_open (keyring, sealed, size_bytes, &opened), WC_STATUS_PARSE);
  wc_keyring_unref (keyring);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, test_round_trip, 0, 3);
  tcase_add_test (tests, test_forged);
  tcase_add_test (tests, test_wrong_epoch);
  tcase_add_test (tests, test_token_as_ticket);
  tcase_add_test (tests, test_malformed_body);
}

int
main (void)
{
  return wc_test_run ("ticket", add_tests);
}
