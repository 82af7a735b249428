package messenger

import (
	"sassafraspass.dev/sassafraspass/connection/messenger/peerv1"
	"sassafraspass.dev/sassafraspass/identifier"
	"sassafraspass.dev/sassafraspass/process/heartbeater"
)

func encodeSuspicions(suspicions []heartbeater.Suspicion) (msgs []*peerv1.Suspicion) {
	for _, suspicion := range suspicions {
		msgs = append(msgs, &peerv1.Suspicion{
			Service:     string(suspicion.Service),
			Part:        string(suspicion.Part),
			Crashes:     int64(suspicion.Crashes),
			Requests:    int64(suspicion.Requests),
			AgeMs:       encodeAge(suspicion.Age),
			Quarantined: suspicion.Quarantined,
		})
	}
	return msgs
}

func decodeSuspicions(msgs []*peerv1.Suspicion) (suspicions []heartbeater.Suspicion) {
	for _, msg := range msgs {
		suspicions = append(suspicions, heartbeater.Suspicion{
			Service:     identifier.ServiceName(msg.GetService()),
			Part:        identifier.PromptPartID(msg.GetPart()),
			Crashes:     int(msg.GetCrashes()),
			Requests:    int(msg.GetRequests()),
			Age:         decodeAge(msg.GetAgeMs()),
			Quarantined: msg.GetQuarantined(),
		})
	}
	return suspicions
}
