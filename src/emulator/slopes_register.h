#ifndef WC_EMULATOR_SLOPES_REGISTER_H
#define WC_EMULATOR_SLOPES_REGISTER_H

#include <stdint.h>

#include <wigeoncart/register_split.h>

/** struct WcSlopesRegister - generated register of a given size; each edit changes one host. */
typedef struct WcSlopesRegister WcSlopesRegister;

/** wc_slopes_register_new() - generate a register with failure domains d1 to d@domains and a service per two hosts. */
WcSlopesRegister *wc_slopes_register_new (uint32_t domains, uint32_t hosts);
void              wc_slopes_register_delete (WcSlopesRegister *reg);

/** wc_slopes_register_edit() - change the slots of one host and increment the revision. */
void wc_slopes_register_edit (WcSlopesRegister *reg);

/** wc_slopes_register_get_split() - Return: the published head and parts, valid until the next edit. */
const WcRegisterSplit *wc_slopes_register_get_split (const WcSlopesRegister *reg);

#endif
