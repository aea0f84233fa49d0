#include "test_main.h"

#include "packet_wire.h"

/* Example from the platform's documentation: an opening packet from 100.64.0.7:40001 to 198.18.0.1:443. */
static const uint8_t OPENING[WC_PACKET_WIRE_HEADER_BYTES] = {
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x01, 0xbb, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40,
  0x00, 0x07, 0x01, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00,
};

/* Example from the platform's documentation: a reset from that route to the same caller. */
static const uint8_t RESET[WC_PACKET_WIRE_HEADER_BYTES] = {
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x9c, 0x41, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12,
  0x00, 0x01, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
};

/* Guards against fields that are decoded from wrong offsets. */
START_TEST (packet_example_is_decoded)
{
  WcPacket packet;

  ck_assert (wc_packet_wire_decode (OPENING, sizeof OPENING, &packet));
  ck_assert_uint_eq (packet.key.caller_ip, 0x64400007);
  ck_assert_uint_eq (packet.key.caller_port, 40001);
  ck_assert_uint_eq (packet.key.route_ip, 0xc6120001);
  ck_assert_uint_eq (packet.key.route_port, 443);
  ck_assert_uint_eq (packet.flags, WC_PACKET_SYN);
  ck_assert_uint_eq (packet.sequence, 0x11223344);
  ck_assert_uint_eq (packet.acknowledged, 0);
  ck_assert_uint_eq (packet.data_bytes, 0);
}
END_TEST

/* Guards against forwarded packets that differ from what the caller sent in anything but the cookie. */
START_TEST (forwarded_packet_differs_in_cookie_only)
{
  uint8_t  out[WC_PACKET_WIRE_HOST_ID_BYTES + sizeof OPENING];
  uint8_t  expected[sizeof out] = { 0, 0, 0, 0x97, 0x48, 0xfa, 0x67, 0x60 };
  WcPacket packet;

  memcpy (expected + WC_PACKET_WIRE_HOST_ID_BYTES, OPENING, sizeof OPENING);
  memcpy (expected + WC_PACKET_WIRE_HOST_ID_BYTES + 2, "\xde\xad\xbe\xef", 4);
  ck_assert (wc_packet_wire_decode (OPENING, sizeof OPENING, &packet));
  ck_assert_uint_eq (wc_packet_wire_encode_forwarded (&packet, 0x9748fa6760, 0xdeadbeef, out), sizeof out);
  ck_assert_mem_eq (out, expected, sizeof out);
}
END_TEST

/* Guards against resets with wrong offsets, or with the addresses of caller and route not exchanged. */
START_TEST (reset_example_is_encoded)
{
  const WcFlowKey key = { 0x64400007, 0xc6120001, 40001, 443 };
  uint8_t         out[WC_PACKET_WIRE_HEADER_BYTES];

  ck_assert_uint_eq (wc_packet_wire_encode_reset (&key, 0, out), sizeof RESET);
  ck_assert_mem_eq (out, RESET, sizeof RESET);
}
END_TEST

/* Guards against malformed datagrams that are accepted or crash the decoder: wrong lengths and unknown flags. */
START_TEST (malformed_packets_are_rejected)
{
  uint8_t  bytes[WC_PACKET_WIRE_MAX_BYTES + 1] = { 0 };
  WcPacket packet;

  memcpy (bytes, OPENING, sizeof OPENING);
  for (size_t size = 0; size < sizeof OPENING; size++)
    ck_assert (!wc_packet_wire_decode (bytes, size, &packet));
  ck_assert (!wc_packet_wire_decode (bytes, sizeof OPENING + 1, &packet));
  ck_assert (!wc_packet_wire_decode (bytes, sizeof bytes, &packet));
  bytes[18] = 0x40;
  ck_assert (!wc_packet_wire_decode (bytes, sizeof OPENING, &packet));
  bytes[18] = 1;
  bytes[1] = 1;
  ck_assert (!wc_packet_wire_decode (bytes, sizeof OPENING, &packet));
  ck_assert (wc_packet_wire_decode (bytes, sizeof OPENING + 1, &packet));
}
END_TEST

/* Guards against log lines of a flow without its request identifier, and against reads beyond the end of a packet. */
START_TEST (request_id_is_found)
{
  static const char text[] = "GET / HTTP/1.1\r\nX-Wigeoncart-Request-Id: c3d8816034b34d01\r\n\r\n";
  uint8_t           bytes[WC_PACKET_WIRE_HEADER_BYTES + sizeof text] = { 0 };
  WcPacket          packet;

  memcpy (bytes, OPENING, sizeof OPENING);
  memcpy (bytes + sizeof OPENING, text, sizeof text);
  for (size_t length = 0; length < sizeof text; length++)
    {
      bytes[1] = (uint8_t)length;
      ck_assert (wc_packet_wire_decode (bytes, sizeof OPENING + length, &packet));
      if (length < 41)
        ck_assert_uint_eq (packet.request_id, 0);
    }
  ck_assert_uint_eq (packet.request_id, 0xc3d8816034b34d01);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, packet_example_is_decoded);
  tcase_add_test (tests, forwarded_packet_differs_in_cookie_only);
  tcase_add_test (tests, reset_example_is_encoded);
  tcase_add_test (tests, malformed_packets_are_rejected);
  tcase_add_test (tests, request_id_is_found);
}

int
main (void)
{
  return wc_test_run ("packet_wire", add_tests);
}
