package messenger

import (
	"time"

	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/request/accountant"
)

func encodeAccounts(accounts []accountant.Account) (msgs []*peerv1.LimitAccount) {
	for _, account := range accounts {
		msg := &peerv1.LimitAccount{Workspace: string(account.Workspace), SlotMs: account.Slot.Milliseconds(), AgeMs: encodeAccountAge(account.Age), Era: int64(account.Era)}
		for _, tokens := range account.Slots {
			msg.Slots = append(msg.Slots, int64(tokens))
		}
		msgs = append(msgs, msg)
	}
	return msgs
}

// encodeAccountAge rounds an age down, so that tokens never leave the window too early.
func encodeAccountAge(age time.Duration) int64 {
	millis := age.Milliseconds()
	if age < time.Duration(millis)*time.Millisecond {
		millis--
	}
	return millis
}

func decodeAccounts(msgs []*peerv1.LimitAccount) (accounts []accountant.Account) {
	for _, msg := range msgs {
		account := accountant.Account{
			Workspace: identifier.WorkspaceName(msg.GetWorkspace()),
			Slot:      decodeMillis(msg.GetSlotMs()),
			Age:       decodeMillis(msg.GetAgeMs()),
			Era:       identifier.Era(msg.GetEra()),
		}
		for _, tokens := range msg.GetSlots() {
			account.Slots = append(account.Slots, identifier.Tokens(tokens))
		}
		accounts = append(accounts, account)
	}
	return accounts
}

// maxMillis bounds the times in a message, so that arithmetic with them cannot overflow.
const maxMillis = int64(365 * 24 * time.Hour / time.Millisecond)

func decodeMillis(millis int64) time.Duration {
	return time.Duration(min(max(millis, -maxMillis), maxMillis)) * time.Millisecond
}
