#ifndef WC_EMULATOR_SLOPES_REGISTER_H
#define WC_EMULATOR_SLOPES_REGISTER_H

#include <stdint.h>

#include <wigeoncart/register_split.h>

/** struct WcSlopesRegister - a generated register of a given size that takes edits of one host each. */
typedef struct WcSlopesRegister WcSlopesRegister;

/** wc_slopes_register_new() - @domains failure domains named d1 and so on; a service for each two hosts. */
WcSlopesRegister *wc_slopes_register_new (uint32_t domains, uint32_t hosts);
void              wc_slopes_register_delete (WcSlopesRegister *reg);

/** wc_slopes_register_edit() - change the slots of one host and raise the revision. */
void wc_slopes_register_edit (WcSlopesRegister *reg);

/** wc_slopes_register_get_split() - head and parts as they are published; valid until the next edit. */
const WcRegisterSplit *wc_slopes_register_get_split (const WcSlopesRegister *reg);

#endif
