#include <wigeoncart/ticket.h>
#include <wigeoncart/token.h>

#include <string.h>

#include "test_main.h"
#include "wigeoncart.pb-c.h"

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define CAN_COUNT_ALLOCATIONS 0
#else
#define CAN_COUNT_ALLOCATIONS 1
#endif

#if CAN_COUNT_ALLOCATIONS
static unsigned long allocations;

/* Replace the allocation functions of the C library in this program and its libraries, except under sanitizers, which
 * have their own. */
void *__libc_malloc (size_t size);
void *__libc_calloc (size_t count, size_t size);
void *__libc_realloc (void *memory, size_t size);

void *
malloc (size_t size)
{
  allocations++;
  return __libc_malloc (size);
}

void *
calloc (size_t count, size_t size)
{
  allocations++;
  return __libc_calloc (count, size);
}

void *
realloc (void *memory, size_t size)
{
  allocations++;
  return __libc_realloc (memory, size);
}
#endif

static const WcToken TOKEN = {
  .service = 1,
  .customer = 2,
  .domain = 3,
  .target = 4,
  .owner = 5,
  .incarnation = 6,
  .worker = 7,
  .expiry_wall_s = 1000,
  .flow = 8,
};

static const WcToken MAX_TOKEN = {
  .service = UINT32_MAX,
  .customer = UINT32_MAX,
  .domain = UINT32_MAX,
  .target = UINT32_MAX,
  .owner = UINT64_MAX,
  .incarnation = UINT64_MAX,
  .worker = UINT32_MAX,
  .expiry_wall_s = UINT64_MAX,
  .flow = UINT64_MAX,
};

static WcKeyring *
make_keyring (uint32_t epoch)
{
  WcKey key = { .epoch = epoch, .secret = { 1, 2, 3 } };

  return wc_keyring_new (&key, 1);
}

static void
assert_equal (const WcToken *a, const WcToken *b)
{
  ck_assert_uint_eq (a->service, b->service);
  ck_assert_uint_eq (a->customer, b->customer);
  ck_assert_uint_eq (a->domain, b->domain);
  ck_assert_uint_eq (a->target, b->target);
  ck_assert_uint_eq (a->owner, b->owner);
  ck_assert_uint_eq (a->incarnation, b->incarnation);
  ck_assert_uint_eq (a->worker, b->worker);
  ck_assert_uint_eq (a->expiry_wall_s, b->expiry_wall_s);
  ck_assert_uint_eq (a->flow, b->flow);
}

/* Guards against fields that are lost or swapped by sealing and opening, and a token of maximum length that does not
 * fit. */
START_TEST (test_round_trip)
{
  static const WcToken EMPTY = { .expiry_wall_s = 1 };
  const WcToken *const TOKENS[] = { &TOKEN, &MAX_TOKEN, &EMPTY };
  WcKeyring           *keyring = make_keyring (1);
  uint8_t              sealed[WC_TOKEN_MAX_BYTES];
  WcToken              opened;
  WcSealer             sealer;
  size_t               size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_token_seal (&sealer, keyring, TOKENS[_i], sealed);
  ck_assert_uint_gt (size_bytes, 0);
  ck_assert_uint_le (size_bytes, WC_TOKEN_MAX_BYTES);
  memset (&opened, 0xaa, sizeof opened);
  ck_assert_int_eq (wc_token_open (keyring, 0, sealed, size_bytes, &opened), WC_STATUS_OK);
  assert_equal (&opened, TOKENS[_i]);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against accepting a token at or after its expiry, and against rejecting it one second before. */
START_TEST (test_expiry)
{
  WcKeyring *keyring = make_keyring (1);
  uint8_t    sealed[WC_TOKEN_MAX_BYTES];
  WcToken    opened;
  WcSealer   sealer;
  size_t     size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_token_seal (&sealer, keyring, &TOKEN, sealed);
  ck_assert_int_eq (wc_token_open (keyring, 999, sealed, size_bytes, &opened), WC_STATUS_OK);
  ck_assert_int_eq (wc_token_open (keyring, 1000, sealed, size_bytes, &opened), WC_STATUS_EXPIRED);
  ck_assert_int_eq (wc_token_open (keyring, UINT64_MAX, sealed, size_bytes, &opened), WC_STATUS_EXPIRED);
  assert_equal (&opened, &TOKEN);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against opening a modified or truncated token, and against changing the output in that case. */
START_TEST (test_forged)
{
  WcKeyring *keyring = make_keyring (1);
  uint8_t    sealed[WC_TOKEN_MAX_BYTES + 1] = { 0 };
  WcToken    opened = TOKEN;
  WcSealer   sealer;
  size_t     size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_token_seal (&sealer, keyring, &MAX_TOKEN, sealed);
  for (size_t bit = 0; bit < 8 * size_bytes; bit++)
    {
      WcStatus status;

      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
      status = wc_token_open (keyring, 0, sealed, size_bytes, &opened);
      ck_assert_int_eq (status, bit < 32 ? WC_STATUS_UNKNOWN_KEY : WC_STATUS_FORGED);
      sealed[bit / 8] ^= (uint8_t)(1 << bit % 8);
    }
  for (size_t size = 0; size < size_bytes; size++)
    ck_assert_int_eq (wc_token_open (keyring, 0, sealed, size, &opened), WC_STATUS_FORGED);
  ck_assert_int_eq (wc_token_open (keyring, 0, sealed, sizeof sealed, &opened), WC_STATUS_FORGED);
  ck_assert_int_eq (wc_token_open (keyring, 0, NULL, 0, &opened), WC_STATUS_FORGED);
  assert_equal (&opened, &TOKEN);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against opening a token whose key was withdrawn, and against sealing without a key. */
START_TEST (test_wrong_epoch)
{
  WcKeyring *keyring = make_keyring (1);
  WcKeyring *newer = make_keyring (2);
  WcKeyring *empty = wc_keyring_new (NULL, 0);
  uint8_t    sealed[WC_TOKEN_MAX_BYTES];
  WcToken    opened;
  WcSealer   sealer;
  size_t     size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_token_seal (&sealer, keyring, &TOKEN, sealed);
  ck_assert_int_eq (wc_token_open (newer, 0, sealed, size_bytes, &opened), WC_STATUS_UNKNOWN_KEY);
  ck_assert_int_eq (wc_token_open (empty, 0, sealed, size_bytes, &opened), WC_STATUS_UNKNOWN_KEY);
  ck_assert_uint_eq (wc_token_seal (&sealer, empty, &TOKEN, sealed), 0);
  wc_keyring_unref (keyring);
  wc_keyring_unref (newer);
  wc_keyring_unref (empty);
}
END_TEST

/* Guards against opening a ticket as a token: both messages use the same field numbers. */
START_TEST (test_ticket_as_token)
{
  WcKeyring *keyring = make_keyring (1);
  WcTicket   ticket = { .service = 1, .owner = 2, .incarnation = 3, .serial = 4, .expiry_us = 5 };
  uint8_t    sealed[WC_TICKET_MAX_BYTES];
  WcToken    opened;
  WcSealer   sealer;
  size_t     size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_ticket_seal (&sealer, keyring, &ticket, sealed);
  ck_assert_int_eq (wc_token_open (keyring, 0, sealed, size_bytes, &opened), WC_STATUS_FORGED);
  wc_keyring_unref (keyring);
}
END_TEST

/* Guards against a crash when an authentic token contains a malformed body or unknown fields of a later version. */
START_TEST (test_unexpected_body)
{
  static const uint8_t MALFORMED[] = { 0x0d, 0x01 };
  Wc__TokenBody        body = WC__TOKEN_BODY__INIT;
  WcKeyring           *keyring = make_keyring (1);
  uint8_t              plain[96];
  uint8_t              sealed[WC_TOKEN_MAX_BYTES];
  WcToken              opened;
  WcSealer             sealer;
  size_t               size_bytes;

  wc_sealer_init (&sealer, 1);
  size_bytes = wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, MALFORMED, sizeof MALFORMED, sealed, sizeof sealed);
  ck_assert_int_eq (wc_token_open (keyring, 0, sealed, size_bytes, &opened), WC_STATUS_PARSE);
  body.service = 9;
  body.expiry_wall_s = 1;
  size_bytes = wc__token_body__pack (&body, plain);
  plain[size_bytes++] = 0x78;
  plain[size_bytes++] = 0x01;
  size_bytes = wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, plain, size_bytes, sealed, sizeof sealed);
  ck_assert_int_eq (wc_token_open (keyring, 0, sealed, size_bytes, &opened), WC_STATUS_OK);
  ck_assert_uint_eq (opened.service, 9);
  /* As many unknown fields as fit into a token, which exhaust the arena. */
  for (size_t i = 0; i < sizeof plain; i += 2)
    {
      plain[i] = 0x78;
      plain[i + 1] = 0x01;
    }
  size_bytes = wc_seal (&sealer, keyring, WC_KEY_USE_TOKEN, plain, sizeof plain, sealed, sizeof sealed);
  ck_assert_int_eq (wc_token_open (keyring, 0, sealed, size_bytes, &opened), WC_STATUS_PARSE);
  wc_keyring_unref (keyring);
}
END_TEST

#if CAN_COUNT_ALLOCATIONS
/* Guards against memory allocations per packet. */
START_TEST (test_no_allocation)
{
  WcKeyring    *keyring = make_keyring (1);
  uint8_t       sealed[WC_TOKEN_MAX_BYTES];
  WcToken       opened;
  WcSealer      sealer;
  size_t        size_bytes;
  WcStatus      opened_status;
  WcStatus      forged_status;
  unsigned long before;
  unsigned long after;

  wc_sealer_init (&sealer, 1);
  free (malloc (1));
  ck_assert_uint_gt (allocations, 0);
  before = allocations;
  size_bytes = wc_token_seal (&sealer, keyring, &MAX_TOKEN, sealed);
  opened_status = wc_token_open (keyring, 0, sealed, size_bytes, &opened);
  sealed[20] ^= 1;
  forged_status = wc_token_open (keyring, 0, sealed, size_bytes, &opened);
  after = allocations;
  ck_assert_int_eq (opened_status, WC_STATUS_OK);
  ck_assert_int_eq (forged_status, WC_STATUS_FORGED);
  ck_assert_uint_eq (after, before);
  wc_keyring_unref (keyring);
}
END_TEST
#endif

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, test_round_trip, 0, 3);
  tcase_add_test (tests, test_expiry);
  tcase_add_test (tests, test_forged);
  tcase_add_test (tests, test_wrong_epoch);
  tcase_add_test (tests, test_ticket_as_token);
  tcase_add_test (tests, test_unexpected_body);
#if CAN_COUNT_ALLOCATIONS
  tcase_add_test (tests, test_no_allocation);
#endif
}

int
main (void)
{
  return wc_test_run ("token", add_tests);
}
