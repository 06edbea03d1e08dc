# Writes the trial days of the review: one kind of trouble each, several variants and moments.
import os
def day(name, length, plan, faults, closing=None):
    def item(d):
        return "{ " + ", ".join(f'{k} = ' + (f'"{v}"' if isinstance(v, str) else str(v)) for k, v in d.items()) + " }"
    t = f'name = "{name}"\nlength_s = {length}\n'
    t += "plan = [\n" + "".join("  " + item(p) + ",\n" for p in plan) + "]\n"
    t += "faults = [\n" + "".join("  " + item(p) + ",\n" for p in faults) + "]\n"
    if closing: t += "closing = " + item(closing) + "\n"
    open(os.path.join(os.path.dirname(os.path.abspath(__file__)), name + ".toml"), "w").write(t)
def F(at, kind, **k):
    how = k.pop("how", None)
    d = dict(at=at, kind=kind, **k)
    if how is not None: d["how"] = how
    return d
LM="kartuli-lm"
chg=lambda *ts: [F(t,"config_change",how=h) for t,h in ts]
day("t01-herd-front",60,chg((2,"route"),(20,"weights"),(40,"timeout")),[F(8,"herd_kill",share=1.0),F(20,"herd_kill",share=1.0,how="power",for_s=2.0),F(35,"herd_kill",share=0.6),F(45,"herd_kill",share=1.0)])
day("t02-split",80,[F(3,"config_race",count=3,gap_s=1.2)]+[F(t,"config_race",count=2,gap_s=1.5) for t in (14,30,46,60)],[F(12,"core_cut",for_s=5.0,how="split"),F(28,"core_cut",for_s=5.0,how="split race"),F(44,"core_cut",for_s=5.0,how="split drain meet"),F(58,"core_cut",for_s=6.0,how="split both")],dict(kind="power_off_all",down_s=1.0))
day("t03-behind",80,[F(3,"config_race",count=3,gap_s=1.2)],[F(10,"core_cut",for_s=5.0,how="behind"),F(35,"core_cut",for_s=5.0,how="behind meet"),F(58,"core_cut",for_s=5.0,how="relieve")],dict(kind="wipe_after_ack",down_s=0.7))
day("t04-lure",85,[F(3,"config_race",count=3,gap_s=1.2)],[F(10,"core_cut",for_s=5.0,how="lure leader"),F(25,"core_cut",for_s=5.0,how="relieve leader"),F(42,"core_cut",for_s=5.0,how="both leader race"),F(60,"core_cut",for_s=5.0,how="seeds"),F(72,"core_cut",for_s=5.0,how="all leader race drain")],dict(kind="kill_all",down_s=0.6))
day("t05-acklost",80,[F(2,"config_storm",for_s=6.0,gap_s=0.33),F(15,"config_race",count=3,gap_s=1.0),F(25,"config_storm",for_s=6.0,gap_s=0.33),F(45,"config_race",count=3,gap_s=1.0),F(60,"config_storm",for_s=6,gap_s=0.33)],[F(2,"ack_lost",x=0.7,for_s=40.0),F(27,"node_kill",on="core",count=1,how="leader race"),F(45,"ack_lost",x=0.7,for_s=30.0),F(46,"node_freeze",on="core",count=1,for_s=3.0,how="leader race"),F(61,"core_cut",for_s=4.0,how="leader one_way race")],dict(kind="power_off_all",down_s=1.0))
day("t06-freeze",85,[F(3,"config_race",count=3,gap_s=1.2)],[F(t,"node_freeze",on="core",count=1,for_s=d,how=h) for t,d,h in ((8,2.2,"leader race drain hard"),(18,3.5,"giver meet drain"),(28,1.2,"giver"),(36,4.5,"leader race"),(46,0.9,"giver drain"),(54,1.5,"giver reader"),(62,2.8,"giver race"),(72,5.0,"leader meet hard"))])
day("t07-roll",90,[F(3,"roll_term",share=1.0,x=1.0,gap_s=1.0,how="busy"),F(30,"roll_term",share=0.45,x=2.0,gap_s=1.3),F(45,"roll_term",on="core",share=1.0,x=1.0,gap_s=1.3),F(60,"roll_term",share=1.0,x=3.0,gap_s=1.0,how="busy")],[])
day("t08-grey",90,[],[F(5+8*i,"srv_grey",service=s,share=0.3,x=0.4,for_s=5.0,how=h) for i,(s,h) in enumerate([(LM,"errors"),(LM,"shed"),(LM,"busy"),(LM,"hang"),(LM,"reset"),(LM,"mute"),("holdline","mute"),("holdline","hang"),("holdline","errors"),("holdline","reset")])]+[F(5,"retry_abuse",share=0.3,x=3,for_s=60.0)])
day("t09-garble",85,[F(3,"release",share=0.3,x=1.0,gap_s=1.0,service=LM)],[F(5+8*i,"garble",share=0.6,x=0.03,for_s=6.0,how=h) for i,h in enumerate(["","extra","extra late","unframed","early","rot","extra unframed","rot late","extra early"])]+[F(5,"answer_lost",share=0.5,x=0.05,for_s=70.0,how="reset")])
day("t10-reuse",85,[F(3,"release",share=0.3,x=2.0,gap_s=1.0,service=LM),F(40,"release",share=0.5,x=1.0,gap_s=0.7,service="holdline")],[F(8,"replace_with_reuse",share=0.15),F(20,"replace_with_reuse",share=0.15,how="drain"),F(32,"replace_with_reuse",share=0.15,how="dark"),F(45,"replace_with_reuse",service="holdline",share=0.3,how="dark"),F(55,"node_freeze",on="core",count=1,for_s=4.0,how="leader"),F(55.5,"replace_with_reuse",share=0.15,how="drain"),F(68,"replace_with_reuse",share=0.15,how="dark")])
day("t11-srvcut",85,[],[F(5,"srv_cut",share=0.2,for_s=5.0),F(15,"srv_cut",share=0.2,for_s=5.0,how="fronts"),F(25,"srv_cut",share=0.2,for_s=5.0,how="some"),F(35,"srv_cut",share=0.2,for_s=5.0,how="one_way"),F(45,"srv_cut",share=0.2,for_s=5.0,how="reset"),F(55,"srv_cut",share=0.2,for_s=5.0,how="some lossy"),F(66,"srv_cut",share=0.2,for_s=5.0,how="fronts one_way"),F(67,"node_kill",on="core",count=1,for_s=3.0,how="giver")])
day("t12-giveup",60,[],[F(5,"give_up",share=0.3,x=200,for_s=20.0),F(30,"give_up",share=0.5,x=50,for_s=20.0),F(32,"burst",x=2.4,for_s=8.0)])
day("t13-slow",85,[F(3,"config_race",count=3,gap_s=1.2),F(30,"config_storm",for_s=4.0,gap_s=0.33)],[F(6,"node_slow",on="core",share=0.3,x=5,for_s=6.0),F(18,"node_slow",share=0.3,x=5,for_s=6.0),F(29,"disk_slow",count=1,x=30.0,for_s=6.0,how="leader"),F(42,"disk_slow",count=4,x=30.0,for_s=6.0),F(54,"disk_full",count=1,for_s=5.0,how="leader"),F(65,"disk_stall",count=1,for_s=4.0,how="leader"),F(65.5,"config_race",count=2,gap_s=1.0)])
day("t14-turnover",90,[F(3,"hup",share=1.0,gap_s=3.0),F(8,"seed_turnover"),F(14,"roll_term",on="core",share=1.0,x=1.0,gap_s=1.3),F(35,"replace_core",how="planned",x=1.0),F(60,"seed_turnover"),F(62,"replace_core",how="planned oldest",x=1.0)],[F(28,"replace_core",x=1.0,how="oldest"),F(50,"replace_core",x=2.0,how="seed"),F(75,"replace_core",x=1.0,how="leader")],dict(kind="power_off_all",down_s=1.0))
day("t15-reset",80,[F(3,"config_race",count=3,gap_s=1.2),F(20,"config_storm",for_s=6.0,gap_s=0.33),F(40,"release",share=0.3,x=1.0,gap_s=1.0,service=LM)],[F(t,"reset_conns",share=s,x=0.5,for_s=3.0,**k) for t,s,k in ((6,0.3,{}),(12,1.0,{}),(20,0.5,dict(on="core")),(30,1.0,dict(on="core")),(42,1.0,{}),(55,1.0,dict(on="core")))])
day("t16-nodecut",85,[F(3,"config_race",count=3,gap_s=1.2),F(12,"config_change",how="route"),F(27,"config_change",how="route"),F(44,"config_change",how="route"),F(62,"config_change",how="route")],[F(10,"node_cut",share=0.3,for_s=5.0),F(25,"node_cut",share=0.3,for_s=6.0,how="all"),F(42,"node_cut",share=0.3,for_s=6.0,how="servers"),F(60,"node_cut",share=0.6,for_s=8.0,how="all")])
day("t17-clock",70,[F(3,"config_race",count=3,gap_s=1.2),F(20,"release",share=0.3,x=1.0,gap_s=1.0,service=LM)],[F(6,"clock_step",share=1.0,x=2400.0,for_s=6.0,how="ahead"),F(18,"clock_step",share=1.0,x=2400.0,for_s=6.0,how="back"),F(30,"clock_step",share=0.3,x=2400.0,for_s=6.0,how="leader"),F(42,"clock_step",share=0.5,x=2400.0,for_s=6.0,how="ahead giver"),F(44,"node_kill",on="core",count=1,how="leader")])
day("t18-scale",90,[F(3,"scale_out",share=0.3,gap_s=5.0,service=LM),F(40,"scale_in",share=0.3,service=LM),F(70,"scale_in",share=0.3,service="holdline")],[F(15,"scale_in",how="spot",service=LM,share=0.3,x=2.0),F(27,"scale_in",how="reclaim",service=LM,share=0.3,x=2.5,for_s=8.0),F(50,"scale_in",how="reclaim dry",service=LM,share=0.3,x=2.5,for_s=8.0),F(52,"node_kill",on="core",count=1,for_s=3.0,how="giver")])
day("t19-crash",90,[],[F(5,"srv_crash",service=LM,share=0.3,for_s=4.5),F(15,"srv_crash",service=LM,share=0.3,for_s=4.5,how="dark"),F(27,"srv_crash",service=LM,share=0.2,for_s=4.5,how="gone"),F(38,"srv_crash",service=LM,share=0.3,for_s=4.5,how="rack"),F(50,"srv_crash",service=LM,share=1.0,for_s=4.5,how="all"),F(65,"srv_crash",service="holdline",share=0.5,for_s=4.5,how="dark"),F(66,"node_kill",on="core",count=1,for_s=3.0,how="giver"),F(76,"srv_crash",service=LM,share=0.5,for_s=2,how="dark")])
day("t20-power",92,[F(3,"config_race",count=3,gap_s=1.2),F(31,"config_storm",for_s=3,gap_s=0.33),F(60,"config_race",count=3,gap_s=1.2)],[F(10,"after_ack_kill",for_s=3.0,how="timed"),F(20,"after_ack_kill",for_s=3.0,how=""),F(31,"herd_kill",on="core",share=1.0,for_s=1.0,how="off"),F(45,"after_ack_wipe",for_s=2.0),F(60,"after_ack_wipe",for_s=2.0,how="oldest"),F(75,"herd_kill",on="core",share=1.0,how="race")],dict(kind="wipe_after_ack",down_s=0.67,how="aimed"))
ms=lambda *ts: [F(t,"model_shift",count=1,for_s=5.0) for t in ts]
day("u01-roll-shift",60,[F(4,"roll_term",share=1.0,x=1.0,gap_s=1.0),F(28,"roll_term",share=1.0,x=1.0,gap_s=1.0,how="busy")]+ms(2,5,8,11,14,17,26,29,32,35,38,41),[])
day("u02-roll-shift-gap13",60,[F(5,"roll_term",share=0.45,x=1.0,gap_s=1.0,how="busy"),F(20,"roll_term",share=0.45,x=1.0,gap_s=1.0,how="busy"),F(35,"roll_term",share=0.45,x=1.0,gap_s=1.0,how="busy")]+ms(4,7,10,19,22,25,34,37,40),[])
day("u03-roll-release",60,[F(4,"roll_term",share=1.0,x=1.0,gap_s=1.0),F(3,"release",share=0.12,x=1.0,gap_s=1.0,service=LM),F(28,"roll_term",share=1.0,x=1.0,gap_s=1.0,how="busy"),F(27,"release",share=0.12,x=1.0,gap_s=1.0,service=LM)]+ms(3,9,27,33),[])
day("u04-roll-burst",60,[F(4,"roll_term",share=1.0,x=1.0,gap_s=1.0),F(28,"roll_term",share=1.0,x=1.0,gap_s=1.0,how="busy")]+ms(3,9,27,33),[F(6,"burst",**{"class":"host-menu-note"},x=2.4,for_s=4.5),F(30,"burst",**{"class":"host-menu-note"},x=2.4,for_s=4.5)])
idle=lambda t0,n,g: [F(round(t0+i*g,2),"config_change",how="idle") for i in range(n)]
day("v01-series",34,[F(3.0,"roll_term",share=1.0,x=1.0,gap_s=2.0)]+idle(2.9,18,0.9),[])
day("v02-incident",34,[F(2.8,"big_config",count=250),F(3.0,"roll_term",share=1.0,x=1.0,gap_s=2.0)]+idle(4.2,20,0.9),[])
day("v03-twice",44,[F(3.0,"roll_term",share=1.0,x=1.0,gap_s=1.0),F(20.0,"roll_term",share=1.0,x=1.0,gap_s=1.0,how="busy")]+idle(2.9,30,0.9),[])
day("v04-shift",44,[F(3.0,"roll_term",share=1.0,x=1.0,gap_s=1.0),F(22.0,"roll_term",share=1.0,x=1.0,gap_s=1.0)]+idle(3.1,26,0.9)+ms(2,8,14,20,26),[])
si=lambda *ts: [F(t,"scale_in",service=LM,share=0.14) for t in ts]
day("w01-scalein-roll",50,si(2,4,6,8,10)+[F(14.0,"roll_term",share=1.0,x=1.0,gap_s=1.0)]+idle(13.9,18,0.9)+ms(12,16,20),[])
day("w02-scalein-roll",50,si(2,3,4,5,6,7,8)+[F(13.0,"roll_term",share=1.0,x=1.0,gap_s=1.0)]+idle(12.9,18,0.9)+ms(13,16,19),[])
day("w03-scalein-roll2",50,si(2,5,8)+[F(10.0,"roll_term",share=1.0,x=1.0,gap_s=1.0)]+idle(9.9,14,0.9)+si(12,14)+ms(9,13),[])
rv=lambda *ts: [F(t,"roll_term",zone="vake",share=0.67,x=1.0,gap_s=1.0) for t in ts]
day("w04-vake",70,si(2,4,6,8,10)+rv(14,26,38,50)+ms(14.5,26.5,38.5,50.5),[])
day("w05-vake-light",70,si(2,4,6)+rv(12,24,36,48)+ms(11,13,23,25,35,37,47,49),[])
day("w06-vake-shift",70,rv(8,20,32,44,56)+ms(8.5,20.5,32.5,44.5,56.5),[])
